#include "programs/turnjournal.h"

#include "framework/global/digest.h"
#include "framework/global/errorcategory.h"
#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Instant;
using framework::Milliseconds;

/// Of the store: at most 100 entries and 1 MB a transaction, in base64 and with names.
constexpr auto s_batchTurns = std::size_t{50};
constexpr auto s_batchBytes = std::size_t{600'000};

/// The store answers a write in about 10 ms; beyond this it counts as slow and other hosts hold the turn as well.
constexpr auto s_storePatience = Milliseconds(40);

/// Within this the store or a keeper has answered, or the turn stays in this host's memory alone.
constexpr auto s_keepPatience = Milliseconds(600);
constexpr auto s_keepTimeout = Milliseconds(250);

/// Tokens taken ahead for a program, in halves of what one turn may generate: enough for some seconds without a store.
constexpr auto s_halfTurnsAhead = std::uint64_t{3};

constexpr auto s_retryPause = Milliseconds(250);

/// A home answers from its memory, in the same data centre.
constexpr auto s_homeTimeout = Milliseconds(100);

/// What a store that is away for some ten seconds leaves behind at the sites' load, three times over.
constexpr auto s_unwrittenBytesLimit = std::size_t{16 * 1024 * 1024};

/// After this a keeper no longer waits for the turn's origin.
constexpr auto s_originPatience = Milliseconds(3'000);

auto partitionOf(const Turn& turn) -> std::uint32_t
{
    return programs::partitionOf(ProgramKey{.account = turn.account, .program = turn.program});
}

} // namespace

TurnJournal::TurnJournal(asio::any_io_executor executor, ProgramTable& table, store::IStore& store, peers::IPeers& peers,
                         const framework::IClock& clock, std::size_t cacheBytes)
    : m_executor(std::move(executor))
    , m_table(table)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_cache(cacheBytes)
{}

auto TurnJournal::commit(TurnPtr turn, std::uint64_t most) -> Async<CommitOutcome>
{
    m_cache.put(turn);
    const auto writing = std::make_shared<Writing>(m_executor);
    writing->turn = turn;
    writing->record = encodeTurn(*turn);
    m_unwrittenBytes += writing->record.size();
    writing->most = most;
    const auto partition = partitionOf(*turn);
    m_buckets[partition].waiting.push_back(writing);
    if (!m_buckets[partition].isBusy) {
        m_buckets[partition].isBusy = true;
        asio::co_spawn(m_executor, pump(partition), asio::detached);
    }
    auto ignored = boost::system::error_code();
    if (!m_isStoreSlow) {
        writing->changed.expires_after(s_storePatience);
        co_await writing->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (writing->isStored) {
            co_return CommitOutcome::Stored;
        }
    }
    handOver(writing);
    const auto deadline = m_clock.now() + s_keepPatience;
    while (!writing->isStored && writing->keepsOpen > 0 && m_clock.now() < deadline) {
        writing->changed.expires_after(s_keepPatience);
        co_await writing->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (writing->isStored) {
        co_return CommitOutcome::Stored;
    }
    co_return writing->keeps > 0 ? CommitOutcome::Kept : CommitOutcome::Alone;
}

auto TurnJournal::handOver(WritingPtr writing) -> void
{
    writing->isHandedOver = true;
    ++m_unwritten;
    for (auto& address : m_peers.replicaHosts(writing->turn->program)) {
        ++writing->keepsOpen;
        asio::co_spawn(m_executor, keepAt(std::move(address), writing), asio::detached);
    }
}

auto TurnJournal::keepAt(std::string address, WritingPtr writing) -> Async<void>
{
    auto request = peers::messages::Request();
    request.mutable_kept_turns()->add_records(writing->record);
    request.mutable_kept_turns()->set_origin(m_peers.ownAddress());
    request.mutable_kept_turns()->set_origin_incarnation(m_peers.ownIncarnation());
    const auto response = co_await m_peers.call(std::move(address), std::move(request), s_keepTimeout);
    --writing->keepsOpen;
    writing->keeps += response ? 1 : 0;
    writing->changed.cancel();
}

auto TurnJournal::pump(std::uint32_t partition) -> Async<void>
{
    auto& bucket = m_buckets[partition];
    while (!bucket.waiting.empty()) {
        auto batch = gather(bucket);
        const auto began = m_clock.now();
        const auto reply = co_await m_store.transact(batch.transaction);
        m_isStoreSlow = !reply || m_clock.now() - began > s_storePatience;
        if (!resolve(std::move(batch), reply)) {
            auto pause = asio::steady_timer(m_executor, s_retryPause);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
    bucket.isBusy = false;
}

auto TurnJournal::gather(const Bucket& bucket) -> Batch
{
    auto batch = Batch();
    auto bytes = std::size_t{0};
    for (const auto& writing : bucket.waiting) {
        bytes += writing->record.size();
        if (!batch.writings.empty() && (batch.writings.size() >= s_batchTurns || bytes > s_batchBytes)) {
            break;
        }
        batch.writings.push_back(writing);
        batch.transaction.puts.push_back({.address = turnRow(writing->turn->id, partitionOf(*writing->turn)), .value = writing->record});
        addProgram(batch, writing);
    }
    return batch;
}

auto TurnJournal::addProgram(Batch& batch, const WritingPtr& writing) -> void
{
    const auto key = ProgramKey{.account = writing->turn->account, .program = writing->turn->program};
    const auto program = m_table.find(key);
    // While other hosts may have lent tokens that the row does not show, only the ledger takes more: it asks them first.
    const auto isLow = program && !m_peers.wasStoreImpairedRecently() && program->holding.free() * 2 < writing->most * s_halfTurnsAhead;
    if (!program || program->isRowBeingWritten || !(program->lent > 0 || (program->isRowKnown && isLow))) {
        return;
    }
    // Tokens for the next turns come with this write, so that those need none of their own.
    const auto want =
        writing->most * (s_halfTurnsAhead + 2) / 2 - std::min(program->holding.free(), writing->most * (s_halfTurnsAhead + 2) / 2);
    const auto tokens = isLow ? std::min(m_table.left(*program), want) : 0;
    if (tokens == 0 && program->lent == 0) {
        return;
    }
    auto change = m_table.change(key, *program, tokens);
    program->isRowBeingWritten = true;
    batch.transaction.conditions.push_back(change.condition);
    batch.transaction.puts.push_back(change.put);
    batch.programs.emplace_back(program, std::move(change));
}

auto TurnJournal::resolve(Batch batch, const framework::Result<store::TransactionReply>& reply) -> bool
{
    const auto isStored = reply && reply.value().isApplied;
    for (auto& [program, change] : batch.programs) {
        program->isRowBeingWritten = false;
        if (isStored) {
            m_table.applied(*program, std::move(change), reply.value().version);
        } else if (reply) {
            const auto& rows = reply.value().currentRows;
            const auto found = std::ranges::find(rows, change.put.address, &store::Row::address);
            m_table.conflicted(*program, found == rows.end() ? nullptr : &*found);
        } else {
            m_table.doubtful(*program, change);
        }
        program->changed.notify();
    }
    if (!reply) {
        // Rows of turns never change, so that a write whose answer was lost may be sent again.
        framework::logEvent(framework::LogLevel::Warning, "programs", "turns_not_stored",
                            {{"turns", batch.writings.size()}, {"reason", framework::codeOf(reply.error())}});
        return false;
    }
    if (!isStored) {
        return true; // Another host wrote a program's row meanwhile: the next try goes on from that.
    }
    auto& bucket = m_buckets[partitionOf(*batch.writings.front()->turn)];
    for (const auto& writing : batch.writings) {
        bucket.waiting.pop_front();
        writing->isStored = true;
        m_unwritten -= writing->isHandedOver ? 1 : 0;
        m_unwrittenBytes -= writing->record.size();
        writing->changed.cancel();
    }
    return true;
}

auto TurnJournal::tellHome(const ProgramKey& key, TurnPtr turn, std::uint64_t returnedTokens) -> void
{
    auto home = m_peers.home(key.program);
    if (home == m_peers.ownAddress()) {
        return;
    }
    auto request = peers::messages::Request();
    auto& ended = *request.mutable_ended_turn();
    ended.set_account(key.account);
    ended.set_program(key.program);
    ended.set_returned_tokens(returnedTokens);
    if (turn) {
        ended.set_record(encodeTurn(*turn));
    }
    asio::co_spawn(
        m_executor,
        [this, home = std::move(home), request = std::move(request)]() mutable -> Async<void> {
            // Where this is lost the tokens count as spent, and the turn is found in the store.
            const auto response = co_await m_peers.call(std::move(home), std::move(request), s_homeTimeout);
            static_cast<void>(response);
        },
        asio::detached);
}

auto TurnJournal::remember(const std::string& record) -> void
{
    if (auto turn = decodeTurn(record)) {
        m_cache.put(std::move(turn));
    }
}

auto TurnJournal::keepFor(const std::string& origin, std::uint64_t originIncarnation, const std::vector<std::string>& records) -> void
{
    for (const auto& record : records) {
        const auto turn = decodeTurn(record);
        if (!turn) {
            framework::logEvent(framework::LogLevel::Warning, "programs", "kept_turn_unreadable", {{"origin", origin}});
            continue;
        }
        m_heldForOthers[turn->id] = Held{.origin = origin,
                                         .originIncarnation = originIncarnation,
                                         .record = record,
                                         .partition = partitionOf(*turn),
                                         .program = {.account = turn->account, .program = turn->program},
                                         .tokens = static_cast<std::uint64_t>(turn->tokens),
                                         .since = m_clock.now()};
    }
}

auto TurnJournal::heldTokens(const ProgramKey& program) const -> std::uint64_t
{
    auto tokens = std::uint64_t{0};
    for (const auto& [id, held] : m_heldForOthers) {
        tokens += held.program == program ? held.tokens : 0;
    }
    return tokens;
}

auto TurnJournal::writeForOthers() -> Async<void>
{
    auto due = std::vector<std::string>();
    for (const auto& [id, held] : m_heldForOthers) {
        if (m_clock.now() > held.since + s_originPatience) {
            due.push_back(id);
        }
    }
    for (const auto& id : due) {
        const auto held = m_heldForOthers.find(id);
        if (held == m_heldForOthers.end()) {
            continue;
        }
        if (m_peers.hasWrittenAllTurns(held->second.origin, held->second.originIncarnation)) {
            m_heldForOthers.erase(held);
            continue;
        }
        auto transaction = store::Transaction();
        transaction.puts.push_back({.address = turnRow(id, held->second.partition), .value = held->second.record});
        const auto reply = co_await m_store.transact(std::move(transaction));
        if (!reply) {
            co_return; // Tried again at the next call.
        }
        m_heldForOthers.erase(id);
    }
}

auto TurnJournal::isFull() const -> bool
{
    return m_unwrittenBytes > s_unwrittenBytesLimit;
}

} // namespace laburnummill::programs
