#include "programs/budgetledger.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// The part of BudgetLedger that claims tokens in the rows of programs.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Interval in which a claim looks whether another write of the row has ended.
constexpr auto s_claimPollInterval = Milliseconds(60);

constexpr auto s_maxWriteAttempts = 8;

/// Interval of the claims of a partition's programs while the store does not take them: each of them is a call.
constexpr auto s_awayClaimInterval = Milliseconds(250);

/// Unit of the random pause after a conflict; a write takes about 10 ms.
constexpr auto s_contentionPauseMs = 15U;

} // namespace

auto BudgetLedger::startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t maxTokens) -> void
{
    if (m_refills[key].isRunning || !beginClaim(key)) {
        return;
    }
    m_refills[key].isRunning = true;
    framework::spawnTask(m_executor, "start_refill", [this, key, program, maxTokens]() -> Async<void> {
        const auto outcome = co_await refill(key, program, maxTokens);
        m_refills[key] = {.isRunning = false, .last = outcome, .storeCallStartedAt = std::nullopt};
        if (outcome == Refill::Done) {
            m_refills.erase(key);
        }
        program->changed.notify();
    });
}

auto BudgetLedger::beginClaim(const ProgramKey& key) -> bool
{
    if (!isStoreAway(key)) {
        return true;
    }
    auto& claimedAt = m_claimedAt.at(partitionOf(key));
    const auto now = m_clock.now();
    if (claimedAt != framework::Instant{} && now < claimedAt + s_awayClaimInterval) {
        return false;
    }
    claimedAt = now;
    return true;
}

auto BudgetLedger::refill(ProgramKey key, ProgramPtr program, std::uint64_t maxTokens) -> Async<Refill>
{
    auto isRowFresh = false;
    for (auto attempt = 0; attempt < s_maxWriteAttempts; ++attempt) {
        if (program->isRowBeingWritten) {
            co_await program->changed.wait(s_claimPollInterval);
            continue;
        }
        if (!m_alternateGrants.areAllKnown() && co_await mayLackGrants(key, program)) {
            co_return Refill::Contended;
        }
        const auto free = program->holding.free();
        if (free >= maxTokens) {
            co_return Refill::Done;
        }
        const auto inRow = m_table.unclaimedTokens(*program);
        const auto unclaimedTokens = inRow - std::min(inRow, co_await possiblyUnrecorded(key, program, maxTokens));
        if (program->isRowBeingWritten) {
            continue;
        }
        if (!program->lostGrants.empty()) {
            const auto isWritten = co_await writeRow(key, program, 0);
            if (!isWritten) {
                co_return Refill::Failed;
            }
            continue;
        }
        if (unclaimedTokens < maxTokens - free && inRow >= maxTokens - free) {
            // The budget may not be exhausted: unreachable hosts may turn out to have granted nothing.
            co_return co_await readRow(key, program) ? Refill::Contended : Refill::Failed;
        }
        if (unclaimedTokens < maxTokens - free) {
            if (const auto outcome = co_await confirmShortage(key, program, isRowFresh); outcome != Refill::Done) {
                co_return outcome;
            }
            isRowFresh = program->releasedTokens == 0;
            continue;
        }
        const auto waiting = std::max(program->awaitedTokens, maxTokens);
        // A host that stands in for a silent home claims no more than its turns need: its claim would be lost with it.
        const auto isStandIn = m_requests == TokenRequests::InAdvance && m_peers.home(key.program) != m_peers.ownAddress();
        const auto needed = waiting - std::min(free, waiting);
        const auto mostAhead = ClaimPolicy::claimableAhead(claimState(*program), needed);
        const auto extra = isStandIn ? 0 : std::min(prefetchSize(*program, unclaimedTokens, maxTokens), mostAhead);
        const auto want = std::min(unclaimedTokens, needed + extra);
        m_refills[key].storeCallStartedAt = m_clock.now();
        const auto isWritten = co_await writeRow(key, program, want);
        m_refills[key].storeCallStartedAt.reset();
        logClaim(key, *program, want, isWritten);
        if (!isWritten || isWritten.value()) {
            co_return isWritten ? Refill::Done : Refill::Failed;
        }
        // A random pause spreads the retries of hosts that contend for a row.
        auto pause = asio::steady_timer(m_executor, Milliseconds(m_random() % (s_contentionPauseMs * (attempt + 1))));
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return Refill::Contended;
}

auto BudgetLedger::mayLackGrants(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    if (!program->isContinued && program->history == TurnHistory::KeptByHosts) {
        co_return false; // It starts now.
    }
    co_await m_alternateGrants.read();
    if (m_alternateGrants.areKnownFor(partitionOf(key)) || !program->isContinued) {
        co_return false;
    }
    // Grants of a program that has a row are within one turn's tokens.
    const auto isRead = program->isRowKnown || (!program->isRowBeingWritten && co_await readRow(key, program));
    co_return !isRead || (program->row.holdings().empty() && program->entriesElsewhere.empty());
}

auto BudgetLedger::writeRow(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> AsyncResult<bool>
{
    auto change = m_table.prepareChange(key, *program, tokens);
    auto transaction = store::Transaction();
    transaction.conditions.push_back(change.condition);
    transaction.puts.push_back(change.put);
    program->isRowBeingWritten = true;
    const auto reply = co_await m_store.transact(std::move(transaction));
    program->isRowBeingWritten = false;
    if (!reply) {
        if (reply.error() == store::StoreError::OutcomeUnknown) {
            m_table.onOutcomeUnknown(*program, change);
        }
        co_return reply.error();
    }
    if (reply.value().isApplied) {
        m_table.onApplied(*program, std::move(change), reply.value().version);
        co_return true;
    }
    const auto& rows = reply.value().currentRows;
    m_table.adoptRow(*program, rows.empty() ? nullptr : &rows.front());
    co_return false;
}

auto BudgetLedger::unrecordedTokens(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->unrecordedTokens : 0;
}

auto BudgetLedger::readRow(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    const auto address = ProgramTable::rowOf(key);
    program->isRowBeingWritten = true; // A read that overlaps a write may tell of the row before it, or of the write before its answer.
    const auto page = co_await m_store.list(
        {.table = address.table, .partition = address.partition, .from = address.key, .to = address.key + '!', .limit = 1});
    program->isRowBeingWritten = false;
    if (!page) {
        co_return false;
    }
    m_table.adoptRow(*program, page.value().rows.empty() ? nullptr : &page.value().rows.front());
    co_return true;
}

} // namespace laburnummill::programs
