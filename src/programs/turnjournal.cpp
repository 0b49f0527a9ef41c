#include "programs/turnjournal.h"

#include "framework/global/digest.h"
#include "framework/global/tasks.h"

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

/// Interval in which the end of an answer considers the state of the store.
constexpr auto s_commitPoll = Milliseconds(40);

/// The home host answers from memory, in the same data centre.
constexpr auto s_homeTimeout = Milliseconds(100);

/// A turn that is divided among rows is held once more.
constexpr auto s_formsOfTurn = std::size_t{2};
constexpr auto s_formsOfDividedTurn = std::size_t{3};

} // namespace

TurnJournal::TurnJournal(asio::any_io_executor executor, ProgramTable& table, store::IStore& store, store::IStoreStatus& storeStatus,
                         peers::IPeers& peers, const IOutageScope& outage, HostRegister& hosts, const framework::IClock& clock,
                         const JournalLimits& limits)
    : m_executor(std::move(executor))
    , m_table(table)
    , m_store(store)
    , m_storeStatus(storeStatus)
    , m_peers(peers)
    , m_outage(outage)
    , m_hosts(hosts)
    , m_clock(clock)
    , m_rowBytes(limits.rowBytes)
    , m_startedAt(clock.now())
    , m_cache(limits.cacheBytes)
    , m_unstored(limits.unstoredBytes)
    , m_writeEnded(m_executor)
{}

auto TurnJournal::commit(TurnPtr turn, std::uint64_t maxTokens, TurnHistory history, Instant endBy) -> Async<CommitOutcome>
{
    m_cache.put(turn);
    m_pending[turn->id] = turn;
    const auto write = std::make_shared<PendingWrite>(m_executor);
    write->turn = turn;
    write->record = encodeTurn(*turn);
    write->rows = rowsOf(*turn, write->record, m_rowBytes, partitionOfTurn(*turn));
    if (write->rows.parts.empty()) {
        write->rows.head.value = {}; // The record is its value.
    }
    write->heldBytes = write->record.size() * (write->rows.parts.empty() ? s_formsOfTurn : s_formsOfDividedTurn);
    m_unstored.add(write->heldBytes);
    write->maxTokens = maxTokens;
    write->history = history;
    write->since = m_clock.now();
    if (write->rows.parts.empty()) {
        enqueue(write);
    } else {
        framework::spawnTask(m_executor, "write_parts", writeParts(write));
    }
    while (!write->isStored) {
        const auto step = nextStep(*write, endBy);
        if (step == CommitStep::GiveUp) {
            co_return CommitOutcome::NotStored;
        }
        if (step == CommitStep::Replicate) {
            co_return co_await keepUnstored(write);
        }
        if (step == CommitStep::StoreElsewhere) {
            startStoringElsewhere(write);
        }
        if (write->isStoredElsewhere) {
            co_return CommitOutcome::StoredElsewhere;
        }
        co_await awaitChange(write, s_commitPoll);
    }
    m_commitPace.record(stateFor(partitionOfTurn(*turn)), std::chrono::duration_cast<Milliseconds>(m_clock.now() - write->since));
    co_return CommitOutcome::Stored;
}

auto TurnJournal::awaitChange(const PendingWritePtr& write, Milliseconds timeout) -> Async<void>
{
    auto ignored = boost::system::error_code();
    write->changed.expires_after(timeout);
    co_await write->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

auto TurnJournal::isCutOff(const ProgramKey& program) const -> bool
{
    const auto partition = programs::partitionOf(program);
    const auto state = stateFor(partition);
    return state == store::StoreState::Away && mustBeServedElsewhere(state, isAwayAlone(partition), m_outage.outageScope());
}

auto TurnJournal::isStoreAwayForAll(const ProgramKey& program) const -> bool
{
    const auto partition = programs::partitionOf(program);
    return stateFor(partition) == store::StoreState::Away && !isAwayAlone(partition) && !m_outage.mayOthersReachStore();
}

auto TurnJournal::awaitReturn(Milliseconds timeout) -> Async<void>
{
    co_await m_storeStatus.awaitReturn(timeout);
}

auto TurnJournal::canCommitBy(const ProgramKey& program, Instant endBy) const -> bool
{
    return m_commitPace.canEndBy(stateFor(programs::partitionOf(program)), m_clock.now(), endBy);
}

auto TurnJournal::nextStep(const PendingWrite& write, Instant endBy) const -> CommitStep
{
    const auto partition = partitionOfTurn(*write.turn);
    const auto state = stateFor(partition);
    return nextCommitStep({.store = state,
                           .isAwayAlone = isAwayAlone(partition),
                           .history = write.history,
                           .isRejected = write.rejections > 0,
                           .endBy = endBy},
                          m_clock.now());
}

auto TurnJournal::stateFor(std::uint32_t partition) const -> store::StoreState
{
    return m_storeStatus.state(partitionName(partition));
}

auto TurnJournal::isAwayAlone(std::uint32_t partition) const -> bool
{
    return m_storeStatus.isAwayAlone(partitionName(partition));
}

auto TurnJournal::enqueue(PendingWritePtr write) -> void
{
    const auto partition = partitionOfTurn(*write->turn);
    auto& queue = m_partitionQueues[partition];
    queue.waiting.push_back(std::move(write));
    if (queue.writers.count() < writersFor(partition)) {
        framework::spawnTask(m_executor, "write_queued", writeQueued(partition, queue.writers.begin()));
    }
}

auto TurnJournal::notifyHome(const ProgramKey& key, TurnPtr turn, std::uint64_t returnedTokens) -> void
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
    framework::spawnTask(m_executor, "notify_home", [this, home = std::move(home), request = std::move(request)]() mutable -> Async<void> {
        // If this message is lost, the tokens count as spent and the turn is found in the store.
        const auto response = co_await m_peers.call(std::move(home), std::move(request), s_homeTimeout);
        static_cast<void>(response);
    });
}

auto TurnJournal::cacheTurn(const std::string& record) -> void
{
    if (auto turn = decodeTurn(record)) {
        m_cache.put(std::move(turn));
    }
}

auto TurnJournal::isFull() const -> bool
{
    return m_unstored.isFull();
}

} // namespace laburnummill::programs
