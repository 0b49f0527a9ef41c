#include "framework/global/errorcategory.h"
#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "programs/claimpolicy.h"
#include "programs/outagegrantsearch.h"
#include "programs/turnjournal.h"
#include "store/callsize.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// The part of TurnJournal that writes queued turns to the store.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

/// Prefetched tokens of a program, in halves of a turn's maximum: enough for some seconds without the store.
constexpr auto s_prefetchHalfTurns = std::uint64_t{3};

constexpr auto s_retryInterval = Milliseconds(250);
/// The return of a store that is away ends the wait.
constexpr auto s_awayRetryInterval = Milliseconds(1'000);

/// Batches of a partition under way at the same time while the store is slow: its committer writes them together.
constexpr auto s_writersIfSlow = 8;

/// A turn that the store rejects is tried again after this time, which doubles with each further rejection.
constexpr auto s_firstRejectionRetry = Milliseconds(1'000);
constexpr auto s_maxRejectionDoublings = 5;

/// More rejected turns than this are not kept.
constexpr auto s_maxRejectedBytes = std::size_t{4 * 1024 * 1024};

/// Allowance for a program's row in a batch, in bytes.
constexpr auto s_programRowBytes = std::size_t{2'000};

/// Entries of a turn's row and, if its program's row is written as well, of that row and its condition.
constexpr auto s_turnEntries = std::size_t{1};
constexpr auto s_programEntries = std::size_t{2};

/// Each call that ends is a reason to look again.
constexpr auto s_writeMemoryWait = Milliseconds(250);

auto logNotStored(std::size_t turns, const std::error_code& error) -> void
{
    framework::logEvent(framework::LogLevel::Warning, "programs", "turns_not_stored",
                        {{"turns", turns}, {"reason", framework::codeOf(error)}});
}

} // namespace

auto TurnJournal::writeParts(PendingWritePtr write) -> Async<void>
{
    for (auto& transaction : transactionsOf(write->rows.parts)) {
        while (true) {
            const auto bytes = store::CallSize::bytesOf(transaction);
            co_await awaitWriteMemory(bytes);
            m_unstored.beginWrite(bytes);
            const auto reply = co_await m_store.transact(transaction);
            endWrite(bytes);
            if (reply) {
                break;
            }
            logNotStored(1, reply.error());
            if (reply.error() == store::StoreError::Rejected) {
                co_return onRejected(write);
            }
            co_await awaitRetry(partitionOfTurn(*write->turn));
        }
    }
    enqueue(std::move(write));
}

auto TurnJournal::writeQueued(std::uint32_t partition, framework::WorkCount::Token /*writer*/) -> Async<void>
{
    auto& queue = m_partitionQueues[partition];
    while (!queue.waiting.empty()) {
        co_await awaitWriteMemory(nextBatchBytes(queue));
        if (queue.waiting.empty()) {
            break; // Another writer has taken it.
        }
        auto batch = composeBatch(queue);
        const auto bytes = batch.bytes;
        m_unstored.beginWrite(bytes);
        const auto reply = co_await m_store.transact(batch.transaction);
        endWrite(bytes);
        if (!handleReply(std::move(batch), reply)) {
            co_await awaitRetry(partition);
        }
    }
}

auto TurnJournal::awaitWriteMemory(std::size_t bytes) -> Async<void>
{
    while (!m_unstored.mayWrite(bytes)) {
        co_await m_writeEnded.wait(s_writeMemoryWait);
    }
}

auto TurnJournal::endWrite(std::size_t bytes) -> void
{
    m_unstored.endWrite(bytes);
    m_writeEnded.notify();
}

auto TurnJournal::awaitRetry(std::uint32_t partition) -> Async<void>
{
    co_await m_storeStatus.awaitReturn(stateFor(partition) == store::StoreState::Away ? s_awayRetryInterval : s_retryInterval);
}

auto TurnJournal::writersFor(std::uint32_t partition) const -> int
{
    return stateFor(partition) == store::StoreState::Slow ? s_writersIfSlow : 1;
}

auto TurnJournal::rowBytes(const PendingWrite& write) -> std::size_t
{
    return write.rows.parts.empty() ? write.record.size() : write.rows.head.value.size();
}

auto TurnJournal::nextBatchBytes(const PartitionQueue& queue) -> std::size_t
{
    auto size = store::CallSize();
    auto bytes = std::size_t{0};
    for (const auto& write : queue.waiting) {
        const auto inCall = store::CallSize::bytesOf(rowBytes(*write));
        if (bytes > 0 && !size.fits(inCall, s_turnEntries)) {
            break;
        }
        size.add(inCall, s_turnEntries);
        bytes += rowBytes(*write);
    }
    return bytes;
}

auto TurnJournal::composeBatch(PartitionQueue& queue) -> Batch
{
    auto batch = Batch();
    auto size = store::CallSize();
    while (!queue.waiting.empty()) {
        const auto write = queue.waiting.front();
        const auto bytes = store::CallSize::bytesOf(rowBytes(*write)) + store::CallSize::bytesOf(s_programRowBytes);
        const auto isLast = write->isAlone || !size.fits(bytes, s_turnEntries + s_programEntries);
        if (!batch.writes.empty() && isLast) {
            break;
        }
        size.add(bytes, s_turnEntries + s_programEntries);
        batch.writes.push_back(write);
        queue.waiting.pop_front();
        batch.transaction.puts.push_back(write->rows.head);
        if (write->rows.parts.empty()) {
            batch.transaction.puts.back().value = write->record;
        }
        batch.bytes += batch.transaction.puts.back().value.size();
        if (write->isAlone) {
            break;
        }
        addProgram(batch, write);
    }
    return batch;
}

auto TurnJournal::addProgram(Batch& batch, const PendingWritePtr& write) -> void
{
    const auto key = ProgramKey{.account = write->turn->account, .program = write->turn->program};
    const auto program = m_table.find(key);
    // While other hosts may have grants that are not in the row, only BudgetLedger claims tokens: it queries these hosts first.
    const auto isLow = program && !OutageGrantSearch(m_peers, m_clock).isNeeded(key, *program) &&
                       program->holding.free() * 2 < write->maxTokens * s_prefetchHalfTurns;
    if (!program || program->isRowBeingWritten || !(program->unrecordedTokens > 0 || program->isRowKnown)) {
        return;
    }
    // This write also claims tokens for the next turns, so that they need no write of their own, or gives back what is left.
    const auto state = ClaimState{.budget = program->budget,
                                  .unclaimedTokens = m_table.unclaimedTokens(*program),
                                  .turnTokens = std::max(program->turnTokens, write->maxTokens)};
    const auto want = write->maxTokens * (s_prefetchHalfTurns + 2) / 2 -
                      std::min(program->holding.free(), write->maxTokens * (s_prefetchHalfTurns + 2) / 2);
    const auto tokens = isLow ? std::min(ClaimPolicy::claimableAhead(state, 0), want) : 0;
    const auto mayRelease =
        tokens == 0 && program->unrecordedTokens == 0 && program->awaitedTokens == 0 && program->isRowKnown && program->releasedTokens == 0;
    const auto surplus = mayRelease ? ClaimPolicy::tokensToReleaseAtEnd(state, program->holding.free()) : 0;
    const auto released = ProgramTable::release(*program, surplus);
    if (tokens == 0 && program->unrecordedTokens == 0 && released == 0) {
        return;
    }
    auto change = m_table.prepareChange(key, *program, tokens);
    program->isRowBeingWritten = true;
    batch.transaction.conditions.push_back(change.condition);
    batch.transaction.puts.push_back(change.put);
    batch.programs.push_back({.program = program, .change = std::move(change), .released = released});
}

auto TurnJournal::handleReply(Batch batch, const framework::Result<store::TransactionReply>& reply) -> bool
{
    const auto isStored = reply && reply.value().isApplied;
    const auto isUnknown = !reply && reply.error() == store::StoreError::OutcomeUnknown;
    for (auto& [program, change, released] : batch.programs) {
        program->isRowBeingWritten = false;
        if (isStored) {
            m_table.onApplied(*program, std::move(change), reply.value().version);
        } else if (reply) {
            const auto& rows = reply.value().currentRows;
            const auto found = std::ranges::find(rows, change.put.address, &store::Row::address);
            m_table.adoptRow(*program, found == rows.end() ? nullptr : &*found);
        } else {
            m_table.onOutcomeUnknown(*program, change);
            ProgramTable::revokeRelease(*program, isUnknown ? 0 : released);
        }
        program->changed.notify();
    }
    if (!reply) {
        logNotStored(batch.writes.size(), reply.error());
        if (reply.error() != store::StoreError::Rejected) {
            putBack(batch);
            return false; // Rows of turns never change, so a write of unknown outcome can be repeated.
        }
        if (batch.writes.size() == 1 && batch.programs.empty()) {
            onRejected(batch.writes.front());
            return true;
        }
        // Another attempt would be rejected as well. Each turn by itself shows which one is at fault.
        std::ranges::for_each(batch.writes, [](const auto& write) { write->isAlone = true; });
        putBack(batch);
        return true;
    }
    if (!isStored) {
        putBack(batch);
        return true; // Another host wrote a program's row meanwhile; the next attempt uses the new version.
    }
    for (const auto& write : batch.writes) {
        write->isStored = true;
        release(write);
        write->changed.cancel();
    }
    return true;
}

auto TurnJournal::putBack(const Batch& batch) -> void
{
    auto& waiting = m_partitionQueues[partitionOfTurn(*batch.writes.front()->turn)].waiting;
    waiting.insert(waiting.begin(), batch.writes.begin(), batch.writes.end());
    for (const auto& write : batch.writes) {
        if (write->isStoredElsewhere) {
            onStoredElsewhere(write); // It may have been stored while it was not in the queue.
        }
    }
}

auto TurnJournal::release(const PendingWritePtr& write) -> void
{
    m_unwritten -= write->isCounted ? 1 : 0;
    write->isCounted = false;
    write->isReleased = true;
    m_unstored.remove(write->heldBytes);
    m_pending.erase(write->turn->id);
}

auto TurnJournal::onRejected(const PendingWritePtr& write) -> void
{
    const auto bytes = write->record.size();
    const auto isKept = m_rejectedBytes + bytes <= s_maxRejectedBytes && m_clock.now() < write->since + m_retention;
    framework::logEvent(framework::LogLevel::Error, "programs", "turn_rejected",
                        {{"request", write->turn->id}, {"bytes", bytes}, {"rejections", write->rejections + 1}, {"isKept", isKept}});
    if (!isKept) {
        release(write);
        return;
    }
    ++m_rejected;
    m_rejectedBytes += bytes;
    write->isAlone = true;
    const auto delay = s_firstRejectionRetry * (1 << std::min(write->rejections++, s_maxRejectionDoublings));
    framework::spawnTask(m_executor, "retry_rejected", retryRejected(write, delay));
}

auto TurnJournal::retryRejected(PendingWritePtr write, Milliseconds delay) -> Async<void>
{
    auto pause = asio::steady_timer(m_executor, delay);
    co_await pause.async_wait(asio::use_awaitable);
    --m_rejected;
    m_rejectedBytes -= write->record.size();
    if (write->rows.parts.empty()) {
        enqueue(std::move(write));
    } else {
        co_await writeParts(std::move(write));
    }
}

} // namespace laburnummill::programs
