#include "programs/budgetledger.h"

#include "framework/logging/log.h"
#include "peers/callall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// The store answers in about 10 ms; beyond this the other hosts are asked.
constexpr auto s_storePatience = Milliseconds(60);

/// Where it did not do so the last time: a refusal comes within this.
constexpr auto s_slowStorePatience = Milliseconds(10);
constexpr auto s_queryTimeout = Milliseconds(200);

/// A home waits up to `s_settlePatience` for other turns, and one round of questions beyond.
constexpr auto s_homeTimeout = Milliseconds(1'300);

/// A turn waits this long for others of its program to give back what they did not use.
constexpr auto s_settlePatience = Milliseconds(900);
constexpr auto s_settlePoll = Milliseconds(100);

/// Turns take a quarter of a second: hosts that had none to give may have some after this.
constexpr auto s_askAgainAfter = Milliseconds(300);

/// Budgets of more turns than this are large: a quarter of them may be lent to a program that begins in an outage.
constexpr auto s_largeBudgetTurns = std::uint64_t{4};
constexpr auto s_lentPart = std::uint64_t{4};

constexpr auto s_conflictTries = 8;

/// Milliseconds; a write takes about ten.
constexpr auto s_contentionPause = 15U;

/// A turn on lent tokens runs with this part of its most: the usual turn generates no more.
constexpr auto s_leastLentShare = 0.25;

} // namespace

BudgetLedger::BudgetLedger(asio::any_io_executor executor, ProgramTable& table, store::IStore& store, peers::IPeers& peers,
                           const framework::IClock& clock)
    : m_executor(std::move(executor))
    , m_table(table)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
{}

auto BudgetLedger::reserve(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> Async<Reservation>
{
    if (most > budget) {
        co_return Reservation{.outcome = BudgetOutcome::Spent, .tokens = 0};
    }
    const auto known = m_table.find(key);
    if (known && known->holding.reserve(most)) {
        co_return Reservation{.outcome = BudgetOutcome::Reserved, .tokens = most};
    }
    const auto home = m_peers.home(key.program);
    if (home != m_peers.ownAddress()) {
        const auto atHome = co_await reserveAtHome(key, home, budget, most, isFirstTurn);
        if (atHome) {
            co_return *atHome;
        }
    }
    co_return co_await reserveHere(std::move(key), budget, most, isFirstTurn, false);
}

auto BudgetLedger::reserveAtHome(ProgramKey key, std::string home, std::uint64_t budget, std::uint64_t most, bool isFirstTurn)
    -> Async<std::optional<Reservation>>
{
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(most);
    query.set_budget(budget);
    query.set_is_first_turn(isFirstTurn);
    query.set_may_take_more(true);
    const auto response = co_await m_peers.call(std::move(home), std::move(request), s_homeTimeout);
    if (!response) {
        co_return std::nullopt; // Counted at home as handed out, should it have been granted.
    }
    const auto outcome = static_cast<BudgetOutcome>(response.value().budget_outcome());
    const auto program = m_table.program(key);
    program->budget = budget;
    program->holding.receive(response.value().granted());
    if (outcome != BudgetOutcome::Reserved) {
        co_return Reservation{.outcome = outcome, .tokens = 0};
    }
    program->holding.reserve(response.value().granted());
    co_return Reservation{.outcome = outcome, .tokens = response.value().granted()};
}

auto BudgetLedger::reserveFor(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> Async<Reservation>
{
    // A home of another data centre asks this host because it lends; it is not asked back.
    const auto isLender = knows(key);
    auto reservation = co_await reserveHere(key, budget, most, isFirstTurn, isLender);
    if (reservation.outcome == BudgetOutcome::Reserved) {
        const auto program = m_table.program(key);
        program->holding.settle(reservation.tokens, 0);
        program->holding.give(reservation.tokens);
        if (program->holding.free() < most && !m_isStoreSlow) {
            startRefill(key, program, most); // Ahead of the next turn.
        }
    }
    co_return reservation;
}

auto BudgetLedger::takeBack(const ProgramKey& key, std::uint64_t tokens) -> void
{
    const auto program = m_table.program(key);
    program->holding.receive(tokens);
    program->changed.notify();
}

auto BudgetLedger::reserveHere(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn, bool isForLender)
    -> Async<Reservation>
{
    const auto program = m_table.program(key);
    program->budget = budget;
    program->wanted += most;
    const auto deadline = m_clock.now() + s_settlePatience;
    auto reservation = Reservation();
    auto others = OtherHolders();
    auto askAgainAt = m_clock.now();
    while (true) {
        if (program->holding.reserve(most)) {
            reservation = {.outcome = BudgetOutcome::Reserved, .tokens = most};
            break;
        }
        startRefill(key, program, most);
        co_await program->changed.wait(m_isStoreSlow ? s_slowStorePatience : s_storePatience);
        if (program->holding.reserve(most)) {
            reservation = {.outcome = BudgetOutcome::Reserved, .tokens = most};
            break;
        }
        const auto isAway = isStoreAway(key);
        const auto last = m_refills[key].last;
        if (m_clock.now() >= askAgainAt) {
            others = co_await askOthers(key, program, most);
            askAgainAt = m_clock.now() + s_askAgainAfter;
        }
        const auto isSomeUnderWay = others.isSomeUnderWay || program->holding.reserved() > 0;
        if (program->holding.free() >= most) {
            continue;
        }
        if (isAway && !others.lender.empty() && !isForLender) {
            // It lends for all that hear it.
            const auto fromLender = co_await reserveAtHome(key, others.lender, budget, most, isFirstTurn);
            reservation = fromLender.value_or(Reservation());
        } else if (isAway) {
            reservation = lend(key, *program, most, isFirstTurn, others);
        } else {
            reservation.outcome = last == Refill::Exhausted ? BudgetOutcome::Spent : BudgetOutcome::Unsure;
        }
        const auto mayChange = isSomeUnderWay || (reservation.outcome == BudgetOutcome::Unsure && !isAway);
        if (reservation.outcome == BudgetOutcome::Reserved || !mayChange || m_clock.now() >= deadline) {
            break;
        }
        co_await program->changed.wait(s_settlePoll);
    }
    program->wanted -= most;
    co_return reservation;
}

auto BudgetLedger::settle(const ProgramKey& key, std::uint64_t reserved, std::uint64_t used) -> std::uint64_t
{
    const auto program = m_table.program(key);
    program->holding.settle(reserved, used);
    program->changed.notify();
    const auto isHome = m_peers.home(key.program) == m_peers.ownAddress();
    return isHome ? 0 : program->holding.give(program->holding.free());
}

auto BudgetLedger::giveAway(const ProgramKey& key, std::uint64_t most) -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->holding.give(most) : 0;
}

auto BudgetLedger::reserved(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->holding.reserved() : 0;
}

auto BudgetLedger::left(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? m_table.left(*program) : 0;
}

auto BudgetLedger::knows(const ProgramKey& key) const -> bool
{
    const auto program = m_table.find(key);
    return program && (program->isRowKnown || program->holding.recorded() > 0);
}

auto BudgetLedger::isStoreAway(const ProgramKey& key) -> bool
{
    const auto& refill = m_refills[key];
    if (!refill.isRunning) {
        return refill.last == Refill::Failed;
    }
    return m_isStoreSlow || (refill.callBeganAt && m_clock.now() >= *refill.callBeganAt + s_storePatience);
}

auto BudgetLedger::startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t most) -> void
{
    if (m_refills[key].isRunning) {
        return;
    }
    m_refills[key].isRunning = true;
    asio::co_spawn(
        m_executor,
        [this, key, program, most]() -> Async<void> {
            const auto outcome = co_await refill(key, program, most);
            m_refills[key] = {.isRunning = false, .last = outcome, .callBeganAt = std::nullopt};
            if (outcome == Refill::Done) {
                m_refills.erase(key);
            }
            program->changed.notify();
        },
        asio::detached);
}

auto BudgetLedger::refill(ProgramKey key, ProgramPtr program, std::uint64_t most) -> Async<Refill>
{
    for (auto attempt = 0; attempt < s_conflictTries; ++attempt) {
        if (program->isRowBeingWritten) {
            co_await program->changed.wait(s_storePatience);
            continue;
        }
        const auto free = program->holding.free();
        if (free >= most) {
            co_return Refill::Done;
        }
        const auto inRow = m_table.left(*program);
        const auto left = inRow - std::min(inRow, co_await possiblyLent(key, program, most));
        if (program->isRowBeingWritten) {
            continue;
        }
        if (left < most - free && inRow >= most - free) {
            // Not spent for sure: others may yet say that they lent nothing.
            co_return co_await readRow(key, program) ? Refill::Contended : Refill::Failed;
        }
        if (left < most - free) {
            // Entries of a row never get smaller: what it left once it will never exceed.
            if (program->isRowKnown) {
                co_return Refill::Exhausted;
            }
            if (!co_await readRow(key, program)) {
                co_return Refill::Failed;
            }
            continue;
        }
        const auto waiting = std::max(program->wanted, most);
        const auto want = std::min(left, waiting - std::min(free, waiting) + ahead(*program, left, most));
        m_refills[key].callBeganAt = m_clock.now();
        const auto isWritten = co_await writeRow(key, program, want);
        m_refills[key].callBeganAt.reset();
        if (!isWritten || isWritten.value()) {
            co_return isWritten ? Refill::Done : Refill::Failed;
        }
        // Hosts that contend for a row come back at different times.
        auto pause = asio::steady_timer(m_executor, Milliseconds(m_random() % (s_contentionPause * (attempt + 1))));
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return Refill::Contended;
}

auto BudgetLedger::writeRow(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> AsyncResult<bool>
{
    auto change = m_table.change(key, *program, tokens);
    auto transaction = store::Transaction();
    transaction.conditions.push_back(change.condition);
    transaction.puts.push_back(change.put);
    program->isRowBeingWritten = true;
    const auto began = m_clock.now();
    const auto reply = co_await m_store.transact(std::move(transaction));
    m_isStoreSlow = !reply || m_clock.now() - began > s_storePatience;
    program->isRowBeingWritten = false;
    if (!reply) {
        if (reply.error() == store::StoreError::OutcomeUnknown) {
            m_table.doubtful(*program, change);
        }
        co_return reply.error();
    }
    if (reply.value().isApplied) {
        m_table.applied(*program, std::move(change), reply.value().version);
        co_return true;
    }
    const auto& rows = reply.value().currentRows;
    m_table.conflicted(*program, rows.empty() ? nullptr : &rows.front());
    co_return false;
}

auto BudgetLedger::recordLent() -> Async<void>
{
    for (const auto& [key, program] : m_table.unrecorded()) {
        for (auto attempt = 0; attempt < s_conflictTries && program->lent > 0 && !program->isRowBeingWritten; ++attempt) {
            const auto isWritten = co_await writeRow(key, program, 0);
            if (!isWritten) {
                co_return; // Tried again at the next call.
            }
            if (isWritten.value()) {
                framework::logEvent(framework::LogLevel::Info, "programs", "lent_tokens_recorded", {{"program", key.program}});
                break;
            }
        }
    }
}

auto BudgetLedger::ahead(const Program& program, std::uint64_t left, std::uint64_t most) -> std::uint64_t
{
    // Programs use a fifth of their budgets: half of it lasts through an outage of the store, and the other half through
    // the loss of the host that holds the first.
    const auto isFirstGrant = program.holding.recorded() == 0;
    return isFirstGrant ? std::max(most, left / 2 - std::min(left / 2, most)) : most;
}

auto BudgetLedger::isInDoubt() const -> bool
{
    return m_isStoreSlow || m_peers.wasStoreImpairedRecently();
}

auto BudgetLedger::possiblyLent(ProgramKey key, ProgramPtr program, std::uint64_t most) -> Async<std::uint64_t>
{
    if (!isInDoubt()) {
        co_return 0;
    }
    const auto others = co_await askOthers(key, program, most);
    const auto isLarge = program->budget > s_largeBudgetTurns * most;
    // Hosts that are not heard may have lent as well; one turn's tokens a budget allows beyond it.
    const auto unheard = m_peers.isAnyHostUnreachable() && isLarge ? program->budget / s_lentPart : 0;
    co_return others.lent + unheard;
}

auto BudgetLedger::lent(const ProgramKey& key) const -> std::uint64_t
{
    const auto program = m_table.find(key);
    return program ? program->lent : 0;
}

auto BudgetLedger::readRow(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    const auto address = ProgramTable::rowOf(key);
    const auto page = co_await m_store.list(
        {.table = address.table, .partition = address.partition, .from = address.key, .to = address.key + '!', .limit = 1});
    if (!page) {
        co_return false;
    }
    m_table.conflicted(*program, page.value().rows.empty() ? nullptr : &page.value().rows.front());
    co_return true;
}

auto BudgetLedger::askOthers(ProgramKey key, ProgramPtr program, std::uint64_t need) -> Async<OtherHolders>
{
    auto others = OtherHolders();
    if (program->isRowKnown && !m_table.isHeldElsewhere(*program) && !isInDoubt()) {
        co_return others;
    }
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(need);
    const auto answers =
        co_await peers::callAll(m_peers, m_peers.reachableHosts(), std::move(request), s_queryTimeout, [](const auto&) { return false; });
    auto lent = std::uint64_t{0};
    auto held = std::uint64_t{0};
    for (const auto& response : answers.responses) {
        program->holding.receive(response.granted());
        others.isSomeUnderWay = others.isSomeUnderWay || response.reserved() > 0;
        // A host that has lent goes on lending; else the one with the lowest address of those that know the program.
        const auto isBefore = response.has_lent() != (program->lent > 0) ? response.has_lent() : response.address() < m_peers.ownAddress();
        const auto isBest = others.lender.empty() || response.has_lent() || response.address() < others.lender;
        if (response.knows_program() && isBefore && isBest) {
            others.lender = response.address();
        }
        if (response.knows_program()) {
            others.left = std::min<std::uint64_t>(others.left, response.left());
        }
        lent += response.lent();
        held = std::max<std::uint64_t>(held, response.lent());
    }
    others.lent = std::max(lent, held);
    co_return others;
}

auto BudgetLedger::lendingLimit(const Program& program, std::uint64_t most) const -> std::uint64_t
{
    const auto isLarge = program.budget > s_largeBudgetTurns * most && !program.isRowKnown;
    const auto limit = isLarge ? program.budget / s_lentPart : most;
    return m_peers.isAnyHostUnreachable() ? limit / 2 : limit; // Hosts that are not heard may lend as well.
}

auto BudgetLedger::lend(const ProgramKey& key, Program& program, std::uint64_t most, bool isFirstTurn, const OtherHolders& others)
    -> Reservation
{
    const auto mayLend = (program.isRowKnown || isFirstTurn || program.lent > 0) && others.lender.empty();
    // A program that has no row yet began in this outage. Should all hosts lose their memory now, its turns are gone with
    // what was lent, so that nothing goes on from them.
    const auto limit = lendingLimit(program, most);
    const auto left = std::min(m_table.left(program), others.left);
    const auto room = std::min(left - std::min(left, others.lent), limit - std::min(limit, program.lent));
    const auto free = program.holding.free();
    const auto tokens = std::min(most, free + room);
    if (!mayLend || static_cast<double>(tokens) < s_leastLentShare * static_cast<double>(most)) {
        return {.outcome = BudgetOutcome::Unsure, .tokens = 0};
    }
    const auto lent = tokens - std::min(tokens, free);
    program.lent += lent;
    program.holding.grant(lent);
    program.holding.reserve(tokens);
    framework::logEvent(framework::LogLevel::Warning, "programs", "tokens_lent",
                        {{"program", key.program}, {"tokens", tokens}, {"lentInAll", program.lent}, {"isFirstTurn", isFirstTurn}});
    return {.outcome = BudgetOutcome::Reserved, .tokens = tokens};
}

} // namespace laburnummill::programs
