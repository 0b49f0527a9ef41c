#include "programs/budgetledger.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "peers/callall.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Interval in which a turn that waits for a claim considers the state of the store.
constexpr auto s_claimPollInterval = Milliseconds(60);

/// A store that is away and refuses connections does so within this time.
constexpr auto s_refusalTime = Milliseconds(10);

/// A host that is asked whether it knows a program answers from memory.
constexpr auto s_programQueryTimeout = Milliseconds(30);

/// A home host waits up to `s_settleTimeout` for other turns, plus one round of queries to the other hosts.
constexpr auto s_homeTimeout = Milliseconds(1'300);

/// A turn waits this long for other turns of its program to return unused tokens.
constexpr auto s_settleTimeout = Milliseconds(900);
constexpr auto s_settlePollInterval = Milliseconds(100);

/// Turns take about 250 ms, so hosts that had no free tokens may have some after this interval.
constexpr auto s_requeryInterval = Milliseconds(300);

} // namespace

BudgetLedger::BudgetLedger(asio::any_io_executor executor, ProgramTable& table, store::IStore& store,
                           const store::IStoreStatus& storeStatus, peers::IPeers& peers, const framework::IClock& clock,
                           TokenRequests requests)
    : m_executor(std::move(executor))
    , m_table(table)
    , m_store(store)
    , m_storeStatus(storeStatus)
    , m_peers(peers)
    , m_clock(clock)
    , m_requests(requests)
    , m_grantSearch(peers, clock)
    , m_alternateGrants(m_executor, table, store, storeStatus, clock)
{}

auto BudgetLedger::reserve(ProgramKey key, TokenDemand demand) -> Async<Reservation>
{
    if (demand.maxTokens > demand.budget) {
        co_return Reservation{.outcome = BudgetOutcome::Exhausted, .tokens = 0};
    }
    const auto known = m_table.find(key);
    if (known && known->holding.reserve(demand.maxTokens)) {
        known->tokensUsedAt = m_clock.now();
        if (m_requests == TokenRequests::InAdvance) {
            m_advance.onUsed(key);
            if (m_peers.home(key.program) == m_peers.ownAddress()) {
                prefetch(key, known, demand.maxTokens);
            }
        }
        co_return Reservation{.outcome = BudgetOutcome::Reserved, .tokens = demand.maxTokens};
    }
    const auto home = m_peers.home(key.program);
    if (home != m_peers.ownAddress() && !m_homeWait.isSilent(home, m_clock.now())) {
        auto askedAt = m_clock.now();
        auto atHome = co_await reserveAt(key, home, demand);
        // A home host that has waited for a slow store goes on with the claim.
        while (atHome && atHome->outcome == BudgetOutcome::Undetermined && storeState(key) == store::StoreState::Slow &&
               m_clock.now() >= askedAt + s_settleTimeout && m_clock.now() + s_settleTimeout < demand.endBy) {
            askedAt = m_clock.now();
            atHome = co_await reserveAt(key, home, demand);
        }
        if (atHome) {
            co_return *atHome;
        }
    }
    const auto reservation = co_await reserveHere(key, demand, false);
    recordIfSpent(key, reservation);
    co_return reservation;
}

auto BudgetLedger::reserveAtHome(ProgramKey key, std::string home, TokenDemand demand) -> Async<std::optional<Reservation>>
{
    auto query = peers::messages::GrantQuery();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(demand.maxTokens);
    query.set_budget(demand.budget);
    query.set_is_first_turn(demand.isFirstTurn);
    query.set_continues_program(demand.continuesProgram);
    query.set_is_history_sent_by_caller(demand.history == TurnHistory::SentByCaller);
    query.set_may_take_more(true);
    if (m_requests == TokenRequests::InAdvance) {
        query.set_holder(m_peers.ownAddress());
    }
    const auto response = co_await callForTokens(std::move(home), std::move(query), s_homeTimeout);
    if (!response) {
        co_return std::nullopt;
    }
    const auto outcome = static_cast<BudgetOutcome>(response.value().budget_outcome());
    const auto program = m_table.program(key);
    ProgramTable::limitBudget(*program, demand.budget);
    program->holding.transferIn(response.value().granted());
    if (outcome != BudgetOutcome::Reserved) {
        co_return Reservation{.outcome = outcome, .tokens = 0};
    }
    program->hasUnrecordedFromHome = program->hasUnrecordedFromHome || response.value().is_grant_unrecorded();
    program->holding.reserve(response.value().granted());
    co_return Reservation{.outcome = outcome, .tokens = response.value().granted(), .isRecorded = !response.value().is_grant_unrecorded()};
}

auto BudgetLedger::reserveForPeer(ProgramKey key, TokenDemand demand, std::uint64_t transfer) -> Async<Reservation>
{
    // The program's home host in another data centre sends this query if this host is the grantor; don't send one back.
    const auto isGrantor = hasProgram(key);
    auto reservation = co_await reserveHere(key, demand, isGrantor);
    recordIfSpent(key, reservation);
    if (reservation.outcome == BudgetOutcome::Reserved) {
        const auto program = m_table.program(key);
        program->holding.settle(reservation.tokens, 0);
        if (!m_transfers.mayBegin(transfer)) {
            program->changed.notify();
            co_return Reservation(); // The other host waits no longer.
        }
        program->holding.transferOut(reservation.tokens);
        m_transfers.record(transfer, reservation.tokens, m_clock.now());
        prefetch(key, program, demand.maxTokens);
    }
    co_return reservation;
}

auto BudgetLedger::acceptReturnedTokens(const ProgramKey& key, std::uint64_t tokens) -> void
{
    const auto program = m_table.program(key);
    program->holding.transferIn(tokens);
    program->tokensUsedAt = m_clock.now();
    program->changed.notify();
}

auto BudgetLedger::reserveHere(ProgramKey key, TokenDemand demand, bool isGrantor) -> Async<Reservation>
{
    const auto program = m_table.program(key);
    const auto maxTokens = demand.maxTokens;
    program->history = demand.history;
    program->isContinued = program->isContinued || demand.continuesProgram;
    program->turnTokens = std::max(program->turnTokens, maxTokens);
    program->tokensUsedAt = m_clock.now();
    ProgramTable::limitBudget(*program, demand.budget);
    program->awaitedTokens += maxTokens;
    const auto deadline = m_clock.now() + s_settleTimeout;
    auto reservation = Reservation();
    auto others = PeerHoldings();
    auto requeryAt = m_clock.now();
    while (true) {
        if (program->holding.reserve(maxTokens)) {
            reservation = {.outcome = BudgetOutcome::Reserved, .tokens = maxTokens};
            break;
        }
        startRefill(key, program, maxTokens);
        co_await awaitClaim(key, program, maxTokens, deadline, demand.endBy);
        if (program->holding.reserve(maxTokens)) {
            reservation = {.outcome = BudgetOutcome::Reserved, .tokens = maxTokens};
            break;
        }
        const auto isAway = isStoreAway(key);
        const auto last = lastRefill(key);
        const auto freeBefore = program->holding.free();
        if (m_clock.now() >= requeryAt && (isAway || !isClaiming(key))) {
            others = co_await queryPeers(key, program, maxTokens);
            requeryAt = m_clock.now() + s_requeryInterval;
        }
        const auto hasRunningTurns = others.hasRunningTurns || program->holding.reserved() > 0;
        // Tokens recalled from other hosts may suffice together with those that are left in the row.
        const auto hasRecalled = last == Refill::Exhausted && program->holding.free() > freeBefore;
        if (program->holding.free() >= maxTokens || hasRecalled) {
            continue;
        }
        if (isAway) {
            reservation = co_await reserveWithoutStore(key, program, demand, others, isGrantor);
        } else {
            reservation.outcome = last == Refill::Exhausted ? BudgetOutcome::Exhausted : BudgetOutcome::Undetermined;
        }
        const auto mayChange = hasRunningTurns || (reservation.outcome == BudgetOutcome::Undetermined && !isAway);
        // A budget that is spent is known to be so, however slow the store is.
        const auto endBy = reservation.outcome == BudgetOutcome::Undetermined ? demand.endBy : deadline;
        if (reservation.outcome == BudgetOutcome::Reserved || !mayChange || isOver(key, deadline, endBy)) {
            break;
        }
        co_await program->changed.wait(s_settlePollInterval);
    }
    program->awaitedTokens -= maxTokens;
    co_return reservation;
}

auto BudgetLedger::extend(ProgramKey key, std::uint64_t tokens, framework::Instant endBy) -> Async<bool>
{
    const auto program = m_table.program(key);
    const auto startedAt = m_clock.now();
    while (m_clock.now() < endBy) {
        if (program->holding.reserve(tokens)) {
            co_return true;
        }
        const auto& refill = m_refills[key];
        if (!refill.isRunning && refill.last == Refill::Exhausted && m_clock.now() >= startedAt + s_settleTimeout) {
            co_return false; // Other turns of the program have had time to return what they did not use.
        }
        startRefill(key, program, tokens);
        co_await program->changed.wait(s_settlePollInterval);
    }
    co_return false;
}

auto BudgetLedger::isInProgress(ProgramKey key) -> Async<bool>
{
    if (hasProgram(key)) {
        co_return true;
    }
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    const auto isKnown = [](const peers::messages::Response& response) { return response.knows_program(); };
    const auto answers =
        co_await peers::callAll(m_peers, m_peers.replicaHosts(key.program), std::move(request), s_programQueryTimeout, isKnown);
    co_return std::ranges::any_of(answers.responses, isKnown);
}

auto BudgetLedger::settle(const ProgramKey& key, std::uint64_t reserved, std::uint64_t used) -> std::uint64_t
{
    const auto program = m_table.program(key);
    program->holding.settle(reserved, used);
    program->tokensUsedAt = m_clock.now();
    program->changed.notify();
    const auto isHome = m_peers.home(key.program) == m_peers.ownAddress();
    if (!isHome && mayHoldInAdvance(*program)) {
        return settleInAdvance(key, *program, reserved);
    }
    program->hasUnrecordedFromHome = program->hasUnrecordedFromHome && program->holding.reserved() > 0;
    return isHome ? 0 : program->holding.transferOut(program->holding.free());
}

auto BudgetLedger::transferTokens(const ProgramKey& key, std::uint64_t maxTokens) -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->holding.transferOut(maxTokens) : 0;
}

auto BudgetLedger::reserved(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->holding.reserved() : 0;
}

auto BudgetLedger::unclaimedTokens(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? m_table.unclaimedTokens(*program) : 0;
}

auto BudgetLedger::hasProgram(const ProgramKey& key) const -> bool
{
    const auto program = m_table.find(key);
    return program && (program->isRowKnown || program->holding.totalGranted() > 0);
}

auto BudgetLedger::storeState(const ProgramKey& key) const -> store::StoreState
{
    return m_storeStatus.state(partitionName(partitionOf(key)));
}

auto BudgetLedger::isOver(const ProgramKey& key, framework::Instant deadline, framework::Instant endBy) const -> bool
{
    const auto isSlow = storeState(key) == store::StoreState::Slow;
    return m_clock.now() >= (isSlow ? std::max(deadline, endBy) : deadline);
}

auto BudgetLedger::isClaiming(const ProgramKey& key) const -> bool
{
    const auto found = m_refills.find(key);
    return found != m_refills.end() && found->second.isRunning;
}

auto BudgetLedger::lastRefill(const ProgramKey& key) const -> Refill
{
    const auto found = m_refills.find(key);
    return found == m_refills.end() ? Refill::Done : found->second.last;
}

auto BudgetLedger::awaitClaim(const ProgramKey& key, ProgramPtr program, std::uint64_t maxTokens, framework::Instant deadline,
                              framework::Instant endBy) -> Async<void>
{
    if (isStoreAway(key)) {
        co_await program->changed.wait(s_refusalTime);
    }
    while (isClaiming(key) && !isStoreAway(key) && program->holding.free() < maxTokens && !isOver(key, deadline, endBy)) {
        co_await program->changed.wait(s_claimPollInterval);
    }
}

auto BudgetLedger::claimAge(const ProgramKey& key) const -> Milliseconds
{
    const auto found = m_refills.find(key);
    if (found == m_refills.end() || !found->second.storeCallStartedAt) {
        return Milliseconds(0);
    }
    return std::chrono::duration_cast<Milliseconds>(m_clock.now() - *found->second.storeCallStartedAt);
}

} // namespace laburnummill::programs
