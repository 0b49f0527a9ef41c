#include "programs/turnjournal.h"

#include "framework/global/digest.h"
#include "framework/global/errorcategory.h"
#include "framework/logging/log.h"
#include "peers/askall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

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

constexpr auto s_retryPause = Milliseconds(250);
constexpr auto s_queryTimeout = Milliseconds(250);

/// What a store that is away for some ten seconds leaves behind at the sites' load, three times over.
constexpr auto s_unwrittenBytesLimit = std::size_t{16 * 1024 * 1024};

/// After this a keeper no longer waits for the turn's origin.
constexpr auto s_originPatience = Milliseconds(3'000);

auto bucketOf(std::string_view id, std::size_t buckets) -> std::size_t
{
    return framework::hash64(id) % buckets;
}

auto rowOf(const std::string& id, std::size_t buckets) -> store::RowAddress
{
    return {.table = "turns", .partition = "t" + std::to_string(bucketOf(id, buckets)), .key = id};
}

/// The least key above `key` in the order of bytes.
auto justAfter(const std::string& key) -> std::string
{
    return key + '!';
}

} // namespace

TurnJournal::TurnJournal(asio::any_io_executor executor, store::IStore& store, peers::IPeers& peers, const framework::IClock& clock,
                         std::size_t cacheBytes)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_cache(cacheBytes)
{}

auto TurnJournal::commit(TurnPtr turn) -> Async<CommitOutcome>
{
    m_cache.put(turn);
    const auto writing = std::make_shared<Writing>(m_executor);
    writing->turn = turn;
    writing->record = encodeTurn(*turn);
    m_unwrittenBytes += writing->record.size();
    const auto bucket = bucketOf(turn->id, s_buckets);
    m_bucketsWriting[bucket].waiting.push_back(writing);
    if (!m_bucketsWriting[bucket].isBusy) {
        asio::co_spawn(m_executor, pump(bucket), asio::detached);
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
    for (auto& address : m_peers.keepers(writing->turn->id)) {
        ++writing->keepsOpen;
        asio::co_spawn(m_executor, keepAt(std::move(address), writing), asio::detached);
    }
}

auto TurnJournal::keepAt(std::string address, WritingPtr writing) -> Async<void>
{
    auto request = peers::messages::Request();
    request.mutable_kept_turns()->add_records(writing->record);
    request.mutable_kept_turns()->set_origin(m_peers.ownAddress());
    const auto response = co_await m_peers.call(std::move(address), std::move(request), s_keepTimeout);
    --writing->keepsOpen;
    writing->keeps += response ? 1 : 0;
    writing->changed.cancel();
}

auto TurnJournal::pump(std::size_t bucket) -> Async<void>
{
    auto& queue = m_bucketsWriting[bucket];
    queue.isBusy = true;
    while (!queue.waiting.empty()) {
        auto transaction = store::Transaction();
        auto batch = std::vector<WritingPtr>();
        auto bytes = std::size_t{0};
        for (const auto& writing : queue.waiting) {
            bytes += writing->record.size();
            if (!batch.empty() && (batch.size() >= s_batchTurns || bytes > s_batchBytes)) {
                break;
            }
            batch.push_back(writing);
            transaction.puts.push_back({.address = rowOf(writing->turn->id, s_buckets), .value = writing->record});
        }
        // Rows of turns never change, so that a write whose answer was lost may be sent again.
        const auto began = m_clock.now();
        const auto reply = co_await m_store.transact(std::move(transaction));
        const auto isStored = reply && reply.value().isApplied;
        m_isStoreSlow = !isStored || m_clock.now() - began > s_storePatience;
        if (!isStored) {
            framework::logEvent(framework::LogLevel::Warning, "programs", "turns_not_stored",
                                {{"turns", batch.size()}, {"reason", reply ? "refused" : framework::codeOf(reply.error())}});
            auto pause = asio::steady_timer(m_executor, s_retryPause);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        for (const auto& writing : batch) {
            queue.waiting.pop_front();
            writing->isStored = true;
            m_unwritten -= writing->isHandedOver ? 1 : 0;
            m_unwrittenBytes -= writing->record.size();
            writing->changed.cancel();
        }
    }
    queue.isBusy = false;
}

auto TurnJournal::readRow(std::string id) -> AsyncResult<TurnPtr>
{
    const auto address = rowOf(id, s_buckets);
    auto request =
        store::ListRequest{.table = address.table, .partition = address.partition, .from = id, .to = justAfter(id), .limit = 1};
    BOOST_OUTCOME_CO_TRY(const auto page, co_await m_store.list(std::move(request)));
    if (page.rows.empty()) {
        co_return TurnPtr();
    }
    auto turn = decodeTurn(page.rows.front().value);
    if (!turn) {
        co_return store::StoreError::Malformed;
    }
    m_cache.put(turn);
    co_return turn;
}

auto TurnJournal::findHere(std::string_view id) -> TurnPtr
{
    if (auto turn = m_cache.find(id)) {
        return turn;
    }
    const auto held = m_heldForOthers.find(id);
    return held == m_heldForOthers.end() ? nullptr : decodeTurn(held->second.record);
}

auto TurnJournal::find(std::string id) -> Async<TurnSearch>
{
    if (auto turn = findHere(id)) {
        co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
    }
    auto isAbsentFromStore = false;
    if (!m_isStoreSlow) {
        auto row = co_await readRow(id);
        if (row && row.value()) {
            co_return TurnSearch{.turn = row.value(), .isCertain = true};
        }
        isAbsentFromStore = static_cast<bool>(row);
        if (isAbsentFromStore && !m_peers.mayHoldUnwritten()) {
            co_return TurnSearch{.turn = nullptr, .isCertain = true};
        }
    }
    auto request = peers::messages::Request();
    request.mutable_turn_query()->set_id(id);
    const auto answers = co_await peers::askAll(m_peers, m_peers.everyone(), std::move(request), s_queryTimeout,
                                                [](const auto& response) { return !response.turn().empty(); });
    for (const auto& response : answers.responses) {
        if (auto turn = decodeTurn(response.turn())) {
            m_cache.put(turn);
            co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
        }
    }
    if (!isAbsentFromStore) {
        auto row = co_await readRow(id);
        if (row && row.value()) {
            co_return TurnSearch{.turn = row.value(), .isCertain = true};
        }
        isAbsentFromStore = static_cast<bool>(row);
    }
    co_return TurnSearch{.turn = nullptr, .isCertain = isAbsentFromStore && !m_peers.mayHoldUnwritten()};
}

auto TurnJournal::findAll(std::vector<std::string> ids) -> Async<std::optional<std::vector<TurnPtr>>>
{
    struct Search
    {
        asio::steady_timer done;
        std::vector<TurnPtr> turns;
        std::size_t open = 0;
    };
    const auto search = std::make_shared<Search>(Search{.done = asio::steady_timer(m_executor), .turns = {}, .open = 0});
    search->turns.resize(ids.size());
    for (auto index = std::size_t{0}; index < ids.size(); ++index) {
        search->turns[index] = findHere(ids[index]);
        if (search->turns[index]) {
            continue;
        }
        ++search->open;
        asio::co_spawn(
            m_executor,
            [this, search, index, id = ids[index]]() -> Async<void> {
                search->turns[index] = (co_await find(id)).turn;
                if (--search->open == 0) {
                    search->done.cancel();
                }
            },
            asio::detached);
    }
    while (search->open > 0) {
        auto ignored = boost::system::error_code();
        search->done.expires_after(Milliseconds(1'000)); // Each search ends by its own timeouts.
        co_await search->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    for (const auto& turn : search->turns) {
        if (!turn) {
            co_return std::nullopt;
        }
    }
    co_return std::move(search->turns);
}

auto TurnJournal::keepFor(const std::string& origin, const std::vector<std::string>& records) -> void
{
    for (const auto& record : records) {
        const auto turn = decodeTurn(record);
        if (!turn) {
            framework::logEvent(framework::LogLevel::Warning, "programs", "kept_turn_unreadable", {{"origin", origin}});
            continue;
        }
        m_heldForOthers[turn->id] = Held{.origin = origin, .record = record, .since = m_clock.now()};
    }
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
        if (m_peers.hasWrittenAll(held->second.origin)) {
            m_heldForOthers.erase(held);
            continue;
        }
        auto transaction = store::Transaction();
        transaction.puts.push_back({.address = rowOf(id, s_buckets), .value = held->second.record});
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
