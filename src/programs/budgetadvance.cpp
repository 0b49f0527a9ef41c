#include "programs/budgetledger.h"

#include "framework/global/errorcategory.h"
#include "framework/global/tasks.h"
#include "framework/logging/log.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Tokens that hosts claim or hold ahead of their use, those that they give back, and waits for home hosts that may not answer.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

/// No turn waits for these calls. A host whose call fails counts as unreachable, so that a shorter time-out would move homes that are
/// only slow.
constexpr auto s_transferTimeout = Milliseconds(1'300);

constexpr auto s_maxOpenReleases = std::size_t{16};

/// A host that cannot be reached for longer has usually ended.
constexpr auto s_cancelTime = Milliseconds(10'000);

} // namespace

auto BudgetLedger::reserveAt(ProgramKey key, std::string address, TokenDemand demand) -> Async<std::optional<Reservation>>
{
    if (m_requests == TokenRequests::PerTurn) {
        co_return co_await reserveAtHome(std::move(key), std::move(address), demand);
    }
    struct Call
    {
        explicit Call(asio::any_io_executor executor)
            : ended(std::move(executor))
        {}

        framework::Signal ended;
        std::optional<Reservation> reservation;
        bool hasEnded = false;
        bool isGivenUp = false;
    };
    const auto call = std::make_shared<Call>(m_executor);
    const auto askedAt = m_clock.now();
    framework::spawnTask(m_executor, "reserve_at", [this, call, key, address, demand, askedAt]() -> Async<void> {
        call->reservation = co_await reserveAtHome(key, address, demand);
        call->hasEnded = true;
        if (call->reservation) {
            m_homeWait.onAnswered(address, askedAt, m_clock.now());
        }
        if (call->isGivenUp && call->reservation) {
            releaseLate(key, *call->reservation, demand);
        }
        call->ended.notify();
    });
    if (!call->hasEnded) {
        // A home host that waits for a slow store is not silent.
        co_await call->ended.wait(storeState(key) == store::StoreState::Slow ? s_transferTimeout : m_homeWait.limit());
    }
    if (!call->hasEnded) {
        call->isGivenUp = true;
        m_homeWait.onOverdue(address, askedAt, m_clock.now());
    }
    co_return call->reservation;
}

auto BudgetLedger::releaseLate(const ProgramKey& key, const Reservation& reservation, const TokenDemand& demand) -> void
{
    if (reservation.tokens == 0) {
        return;
    }
    const auto program = m_table.program(key);
    program->holding.settle(reservation.tokens, 0);
    if (mayHoldInAdvance(*program)) {
        returnTokens(key, m_advance.hold(key, program->holding.free(), demand.maxTokens, m_clock.now()));
        program->changed.notify();
    } else {
        returnTokens(key, reservation.tokens);
    }
}

auto BudgetLedger::callForTokens(std::string address, peers::messages::GrantQuery query, Milliseconds timeout)
    -> framework::AsyncResult<peers::messages::Response>
{
    const auto key = ProgramKey{.account = query.account(), .program = query.program()};
    const auto transfer = std::max<std::uint64_t>(m_transferIds(), 1);
    query.set_transfer(transfer);
    auto request = peers::messages::Request();
    *request.mutable_grant_query() = std::move(query);
    auto response = co_await m_peers.call(address, std::move(request), timeout);
    if (!response) {
        framework::logEvent(framework::LogLevel::Warning, "programs", "transfer_cancelled", {{"program", key.program}, {"from", address}});
        m_cancellations.push_back({.address = std::move(address), .key = key, .transfer = transfer, .until = m_clock.now() + s_cancelTime});
        sendCancellations();
    }
    co_return response;
}

auto BudgetLedger::sendCancellations() -> void
{
    auto due = std::exchange(m_cancellations, {});
    for (auto& cancellation : due) {
        framework::spawnTask(m_executor, "cancel_transfer", cancelAt(std::move(cancellation)));
    }
}

auto BudgetLedger::cancelAt(Cancellation cancellation) -> Async<void>
{
    auto request = peers::messages::Request();
    auto& ended = *request.mutable_ended_turn();
    ended.set_account(cancellation.key.account);
    ended.set_program(cancellation.key.program);
    ended.set_cancelled_transfer(cancellation.transfer);
    const auto response = co_await m_peers.call(cancellation.address, std::move(request), s_transferTimeout);
    if (!response && m_clock.now() < cancellation.until) {
        m_cancellations.push_back(std::move(cancellation)); // Tried again with the next releases.
    }
}

auto BudgetLedger::cancelTransfer(const ProgramKey& key, std::uint64_t transfer) -> void
{
    const auto tokens = m_transfers.cancel(transfer, m_clock.now());
    if (tokens > 0) {
        acceptReturnedTokens(key, tokens);
    }
}

auto BudgetLedger::mayHoldInAdvance(const Program& program) const -> bool
{
    // Tokens that are not in the row return at once: the turns that use them must be replicated with them.
    return m_requests == TokenRequests::InAdvance && !m_isStopping && !program.hasUnrecordedFromHome && program.unrecordedTokens == 0;
}

auto BudgetLedger::settleInAdvance(const ProgramKey& key, Program& program, std::uint64_t turnTokens) -> std::uint64_t
{
    auto home = m_peers.home(key.program);
    if (m_homeWait.isSilent(home, m_clock.now())) {
        // Tokens sent to this host may be lost.
        m_advance.hold(key, program.holding.free(), turnTokens, m_clock.now());
        return 0;
    }
    const auto plan = m_advance.onTurnEnded(key, program.holding.free(), turnTokens, m_clock.now());
    if (plan.requested > 0) {
        framework::spawnTask(m_executor, "request_in_advance", requestInAdvance(key, std::move(home), plan.requested, turnTokens));
    }
    return program.holding.transferOut(plan.returned);
}

auto BudgetLedger::requestInAdvance(ProgramKey key, std::string home, std::uint64_t tokens, std::uint64_t turnTokens) -> Async<void>
{
    auto query = peers::messages::GrantQuery();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(tokens);
    query.set_holder(m_peers.ownAddress());
    ++m_openTransfers;
    const auto response = co_await callForTokens(home, std::move(query), s_transferTimeout);
    --m_openTransfers;
    m_advance.onRequestEnded(key);
    if (!response) {
        co_return;
    }
    m_homeWait.onHeard(home, m_clock.now());
    const auto program = m_table.program(key);
    program->holding.transferIn(response.value().granted());
    program->hasUnrecordedFromHome = program->hasUnrecordedFromHome || (response.value().has_lent() && response.value().granted() > 0);
    const auto free = program->holding.free();
    if (!mayHoldInAdvance(*program) || free < turnTokens) {
        returnTokens(key, free); // Too few for a turn, if the home host has no more.
    } else {
        returnTokens(key, m_advance.hold(key, free, turnTokens, m_clock.now()));
    }
    program->changed.notify();
}

auto BudgetLedger::transferInAdvance(const ProgramKey& key, const std::string& holder, std::uint64_t tokens) -> std::uint64_t
{
    const auto program = m_table.find(key);
    if (!program || program->unrecordedTokens > 0 || program->awaitedTokens > 0) {
        return 0; // Turns that wait come first.
    }
    const auto isEnough = program->holding.free() >= tokens;
    const auto transferred = isEnough ? program->holding.transferOut(tokens) : 0;
    if (transferred > 0) {
        program->advanceHolders.insert(holder);
    }
    prefetch(key, program, tokens);
    return transferred;
}

auto BudgetLedger::prefetch(const ProgramKey& key, const ProgramPtr& program, std::uint64_t maxTokens) -> void
{
    const auto free = program->holding.free();
    const auto lacking = maxTokens - std::min(free, maxTokens);
    if (lacking > 0 && storeState(key) == store::StoreState::Prompt && ClaimPolicy::claimableAhead(claimState(*program), 0) >= lacking) {
        startRefill(key, program, maxTokens);
    }
}

auto BudgetLedger::returnTokens(const ProgramKey& key, std::uint64_t tokens) -> void
{
    const auto program = m_table.find(key);
    auto home = m_peers.home(key.program);
    if (!program || home == m_peers.ownAddress()) {
        return;
    }
    const auto returned = program->holding.transferOut(tokens);
    if (returned == 0) {
        return;
    }
    auto request = peers::messages::Request();
    auto& ended = *request.mutable_ended_turn();
    ended.set_account(key.account);
    ended.set_program(key.program);
    ended.set_returned_tokens(returned);
    ++m_openTransfers;
    framework::spawnTask(m_executor, "return_tokens",
                         [this, home = std::move(home), request = std::move(request)]() mutable -> Async<void> {
                             // If this message is lost, the tokens count as spent.
                             const auto response = co_await m_peers.call(std::move(home), std::move(request), s_transferTimeout);
                             static_cast<void>(response);
                             --m_openTransfers;
                         });
}

auto BudgetLedger::returnUnused() -> void
{
    const auto now = m_clock.now();
    for (const auto& key : m_advance.takeExpired(m_isStopping ? framework::Instant::max() : now)) {
        if (!m_isStopping && m_homeWait.isSilent(m_peers.home(key.program), now)) {
            m_advance.hold(key, 0, 0, now);
        } else if (const auto program = m_table.find(key)) {
            returnTokens(key, program->holding.free());
        }
    }
}

auto BudgetLedger::recordIfSpent(const ProgramKey& key, const Reservation& reservation) -> void
{
    if (reservation.outcome != BudgetOutcome::Exhausted) {
        return;
    }
    m_spent.record(key, m_clock.now());
    const auto program = m_table.program(key);
    auto entries = framework::Json::array();
    for (const auto& holding : program->row.holdings()) {
        entries.push_back({{"host", holding.host()},
                           {"incarnation", holding.incarnation()},
                           {"granted", holding.granted()},
                           {"returned", holding.returned()},
                           {"spent", holding.spent()}});
    }
    framework::logEvent(framework::LogLevel::Info, "programs", "budget_exhausted",
                        {{"program", key.program},
                         {"budget", program->budget},
                         {"unclaimed", m_table.unclaimedTokens(*program)},
                         {"free", program->holding.free()},
                         {"reserved", program->holding.reserved()},
                         {"entries", std::move(entries)}});
}

auto BudgetLedger::logClaim(const ProgramKey& key, const Program& program, std::uint64_t tokens,
                            const framework::Result<bool>& isWritten) const -> void
{
    const auto outcome = !isWritten ? framework::codeOf(isWritten.error()) : isWritten.value() ? "written" : "conflict";
    framework::logEvent(framework::LogLevel::Info, "programs", "tokens_claimed",
                        {{"program", key.program},
                         {"tokens", tokens},
                         {"outcome", outcome},
                         {"free", program.holding.free()},
                         {"unclaimed", m_table.unclaimedTokens(program)}});
}

auto BudgetLedger::confirmShortage(ProgramKey key, ProgramPtr program, bool isRowFresh) -> Async<Refill>
{
    if (program->releasedTokens > 0) {
        // Another write settles whether this host's tokens were given back.
        const auto isWritten = co_await writeRow(key, program, 0);
        co_return isWritten ? Refill::Done : Refill::Failed;
    }
    if (isRowFresh) {
        co_return Refill::Exhausted;
    }
    // Other hosts may have given tokens back since the row was read.
    co_return co_await readRow(key, program) ? Refill::Done : Refill::Failed;
}

auto BudgetLedger::prefetchSize(const Program& program, std::uint64_t unclaimedTokens, std::uint64_t maxTokens) -> std::uint64_t
{
    // Programs use about a fifth of their budgets. Claiming half of the budget at first is enough to get through a store
    // outage; the other half remains if the host that holds the first half fails.
    const auto isFirstGrant = program.holding.totalGranted() == 0;
    return isFirstGrant ? std::max(maxTokens, unclaimedTokens / 2 - std::min(unclaimedTokens / 2, maxTokens)) : maxTokens;
}

auto BudgetLedger::claimState(const Program& program) const -> ClaimState
{
    return {.budget = program.budget, .unclaimedTokens = m_table.unclaimedTokens(program), .turnTokens = program.turnTokens};
}

auto BudgetLedger::releasable(const ProgramKey& key, const Program& program, Milliseconds idle) const -> std::uint64_t
{
    const auto free = program.holding.free();
    const auto isUnsettled = program.isRowBeingWritten || program.unrecordedTokens > 0 || program.hasUnrecordedFromHome;
    if (free == 0 || isUnsettled || program.awaitedTokens > 0 || storeState(key) != store::StoreState::Prompt) {
        return 0;
    }
    if (m_isStopping) {
        return free;
    }
    const auto tokens = program.isRowKnown ? ClaimPolicy::tokensToRelease(claimState(program), free, idle) : 0;
    return tokens > 0 && m_peers.home(key.program) == m_peers.ownAddress() ? tokens : 0;
}

auto BudgetLedger::releaseUnused() -> void
{
    sendCancellations();
    auto due = std::vector<std::tuple<ProgramKey, ProgramPtr, std::uint64_t>>();
    for (const auto& [key, program] : m_table.programs()) {
        const auto idle = std::chrono::duration_cast<Milliseconds>(m_clock.now() - program->tokensUsedAt);
        const auto tokens = releasable(key, *program, idle);
        const auto isUnconfirmed =
            program->releasedTokens > 0 && !program->isRowBeingWritten && storeState(key) == store::StoreState::Prompt;
        if ((tokens > 0 || isUnconfirmed) && m_openReleases + due.size() < s_maxOpenReleases) {
            due.emplace_back(key, program, isUnconfirmed ? 0 : tokens);
        }
    }
    for (const auto& [key, program, tokens] : due) {
        framework::spawnTask(m_executor, "release_tokens", release(key, program, tokens));
    }
}

auto BudgetLedger::release(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> Async<void>
{
    if (program->isRowBeingWritten) {
        co_return;
    }
    ++m_openReleases;
    const auto released = ProgramTable::release(*program, tokens);
    const auto isWritten = co_await writeRow(key, program, 0);
    --m_openReleases;
    const auto isUnknown = !isWritten && isWritten.error() == store::StoreError::OutcomeUnknown;
    if (!isWritten && !isUnknown) {
        ProgramTable::revokeRelease(*program, released);
    }
    const auto* outcome = isUnknown ? "unknown" : !isWritten ? "failed" : isWritten.value() ? "written" : "conflict";
    framework::logEvent(
        framework::LogLevel::Info, "programs", "tokens_released",
        {{"program", key.program}, {"tokens", released}, {"outcome", outcome}, {"unclaimed", m_table.unclaimedTokens(*program)}});
    program->changed.notify();
}

auto BudgetLedger::hasUnreleased() const -> bool
{
    return std::ranges::any_of(m_table.programs(),
                               [this](const auto& entry) { return releasable(entry.first, *entry.second, Milliseconds(0)) > 0; });
}

auto BudgetLedger::stopHolding() -> void
{
    m_isStopping = true;
    returnUnused();
    releaseUnused();
}

} // namespace laburnummill::programs
