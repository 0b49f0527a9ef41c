#include "programs/budgetledger.h"

#include "framework/global/digest.h"
#include "framework/logging/log.h"
#include "peers/askall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Instant;
using framework::Milliseconds;

constexpr auto s_format = std::uint32_t{1};
constexpr auto s_partitions = std::size_t{8};

/// The store answers in about 10 ms; beyond this the other hosts are asked.
constexpr auto s_storePatience = Milliseconds(60);
constexpr auto s_queryTimeout = Milliseconds(200);

/// A turn waits this long for others of its program to give back what they did not use.
constexpr auto s_settlePatience = Milliseconds(900);
constexpr auto s_settlePoll = Milliseconds(100);

/// Programs pause for tools and sub-agents for less than this.
constexpr auto s_idleProgram = Milliseconds(60'000);

constexpr auto s_conflictTries = 6;

auto rowOf(const ProgramKey& key) -> store::RowAddress
{
    const auto name = key.account + "/" + key.program;
    return {.table = "programs", .partition = "p" + std::to_string(framework::hash64(name) % s_partitions), .key = name};
}

auto tokensOf(const records::ProgramRecord& row, std::string_view host, std::uint64_t incarnation) -> std::uint64_t
{
    const auto found = std::ranges::find_if(
        row.holdings(), [&](const auto& holding) { return holding.host() == host && holding.incarnation() == incarnation; });
    return found == row.holdings().end() ? 0 : found->tokens();
}

} // namespace

auto TokenHolding::reserve(std::uint64_t tokens) -> bool
{
    if (free() < tokens) {
        return false;
    }
    m_reserved += tokens;
    return true;
}

auto TokenHolding::settle(std::uint64_t reserved, std::uint64_t used) -> void
{
    m_reserved -= std::min(reserved, m_reserved);
    m_spent += used;
    m_granted = std::max(m_granted, m_spent + m_reserved);
}

auto TokenHolding::release(std::uint64_t tokens) -> std::uint64_t
{
    const auto given = std::min(tokens, free());
    m_granted -= given;
    return given;
}

BudgetLedger::BudgetLedger(asio::any_io_executor executor, store::IStore& store, peers::IPeers& peers, const framework::IClock& clock,
                           std::string host, std::uint64_t incarnation)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
{}

auto BudgetLedger::reserve(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> Async<BudgetOutcome>
{
    if (most > budget) {
        co_return BudgetOutcome::Spent;
    }
    const auto program = this->program(key);
    program->budget = budget;
    const auto deadline = m_clock.now() + s_settlePatience;
    auto outcome = BudgetOutcome::Unsure;
    do {
        if (program->holding.reserve(most)) {
            co_return BudgetOutcome::Reserved;
        }
        startRefill(key, program, most);
        if (program->isRefilling && !m_isStoreSlow) {
            co_await program->changed.wait(s_storePatience);
        }
        if (program->holding.reserve(most)) {
            co_return BudgetOutcome::Reserved;
        }
        if (program->isRefilling || program->lastRefill == Refill::Failed) {
            outcome = BudgetOutcome::Unsure;
            if (co_await borrow(key, program, most, isFirstTurn)) {
                continue;
            }
        } else if (program->lastRefill == Refill::Exhausted) {
            outcome = BudgetOutcome::Spent;
            const auto underWay = co_await recall(key, program, most);
            if (program->holding.free() < most && underWay + program->holding.reserved() == 0) {
                co_return outcome;
            }
        }
        if (program->holding.free() < most) {
            co_await program->changed.wait(s_settlePoll);
        }
    } while (m_clock.now() < deadline);
    co_return outcome;
}

auto BudgetLedger::settle(const ProgramKey& key, std::uint64_t most, std::uint64_t used) -> void
{
    const auto program = this->program(key);
    program->holding.settle(most, used);
    if (used > 0 && program->holding.free() < most) {
        startRefill(key, program, most);
    }
    program->changed.notify();
}

auto BudgetLedger::giveAway(const ProgramKey& key, std::uint64_t most, bool mayBorrow) -> std::uint64_t
{
    const auto found = m_programs.find(key);
    if (found == m_programs.end()) {
        return 0;
    }
    auto& program = *found->second;
    if (mayBorrow && program.holding.free() < most) {
        borrowHere(program, most - program.holding.free());
    }
    return program.holding.release(most);
}

auto BudgetLedger::reserved(const ProgramKey& key) const -> std::uint64_t
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? 0 : found->second->holding.reserved();
}

auto BudgetLedger::knows(const ProgramKey& key) const -> bool
{
    const auto found = m_programs.find(key);
    return found != m_programs.end() && (found->second->isRowKnown || found->second->holding.granted() > 0);
}

auto BudgetLedger::forget() -> void
{
    std::erase_if(m_programs, [this](const auto& entry) {
        const auto& program = *entry.second;
        return program.usedAt + s_idleProgram < m_clock.now() && program.holding.reserved() == 0 && !program.isRefilling;
    });
}

auto BudgetLedger::program(const ProgramKey& key) -> ProgramPtr
{
    auto& found = m_programs[key];
    if (!found) {
        found = std::make_shared<Program>(m_executor);
    }
    found->usedAt = m_clock.now();
    return found;
}

auto BudgetLedger::startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t most) -> void
{
    if (program->isRefilling) {
        return;
    }
    program->isRefilling = true;
    asio::co_spawn(
        m_executor,
        [this, key, program, most]() -> Async<void> {
            const auto free = program->holding.free();
            const auto began = m_clock.now();
            program->lastRefill = co_await refill(key, program, most - std::min(free, most), most);
            m_isStoreSlow = program->lastRefill == Refill::Failed || m_clock.now() - began > s_storePatience;
            program->isRefilling = false;
            program->changed.notify();
        },
        asio::detached);
}

auto BudgetLedger::refill(ProgramKey key, ProgramPtr program, std::uint64_t need, std::uint64_t ahead) -> Async<Refill>
{
    auto isFresh = false;
    for (auto attempt = 0; attempt < s_conflictTries; ++attempt) {
        const auto taken = program->row.granted() + program->unrecorded;
        const auto left = program->budget - std::min(program->budget, taken);
        if (left < need) {
            if (isFresh || !co_await readRow(key, program)) {
                co_return isFresh ? Refill::Exhausted : Refill::Failed;
            }
            isFresh = true;
            continue;
        }
        const auto want = std::min(left, need + ahead);
        auto row = grownRow(key, *program, want + program->unrecorded);
        const auto recorded = program->unrecorded;
        auto transaction = store::Transaction();
        transaction.conditions.push_back({.address = rowOf(key), .version = program->rowVersion});
        transaction.puts.push_back({.address = rowOf(key), .value = row.SerializeAsString()});
        const auto reply = co_await m_store.transact(std::move(transaction));
        if (!reply) {
            program->doubtfulGrant = reply.error() == store::StoreError::OutcomeUnknown ? want + recorded : 0;
            co_return Refill::Failed;
        }
        if (reply.value().isApplied) {
            program->row = std::move(row);
            program->rowVersion = reply.value().version;
            program->isRowKnown = true;
            program->unrecorded -= recorded;
            program->holding.grant(want);
            co_return Refill::Done;
        }
        const auto& rows = reply.value().currentRows;
        takeRow(program, rows.empty() ? nullptr : &rows.front());
        isFresh = true;
    }
    co_return Refill::Failed;
}

auto BudgetLedger::readRow(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    const auto address = rowOf(key);
    const auto page = co_await m_store.list(
        {.table = address.table, .partition = address.partition, .from = address.key, .to = address.key + '!', .limit = 1});
    if (!page) {
        co_return false;
    }
    takeRow(program, page.value().rows.empty() ? nullptr : &page.value().rows.front());
    co_return true;
}

auto BudgetLedger::takeRow(const ProgramPtr& program, const store::Row* row) -> void
{
    auto record = records::ProgramRecord();
    if (row != nullptr && !row->isRemoved && !record.ParseFromString(row->value)) {
        framework::logEvent(framework::LogLevel::Error, "programs", "program_row_unreadable", {{"row", row->address.key}});
    }
    const auto before = tokensOf(program->row, m_host, m_incarnation);
    const auto now = tokensOf(record, m_host, m_incarnation);
    if (program->doubtfulGrant > 0 && now >= before + program->doubtfulGrant) {
        // The write whose answer was lost had taken effect.
        const auto recorded = std::min(program->unrecorded, program->doubtfulGrant);
        program->unrecorded -= recorded;
        program->holding.grant(program->doubtfulGrant - recorded);
    }
    program->doubtfulGrant = 0;
    program->isForgotten = false;
    program->row = std::move(record);
    program->rowVersion = row == nullptr || row->isRemoved ? store::s_absentRow : row->version;
    program->isRowKnown = true;
}

auto BudgetLedger::grownRow(const ProgramKey& key, const Program& program, std::uint64_t want) const -> records::ProgramRecord
{
    auto row = program.row;
    row.set_format(s_format);
    row.set_account(key.account);
    row.set_program(key.program);
    row.set_budget(program.budget);
    row.set_granted(row.granted() + want);
    for (auto& holding : *row.mutable_holdings()) {
        if (holding.host() == m_host && holding.incarnation() == m_incarnation) {
            holding.set_tokens(holding.tokens() + want);
            return row;
        }
    }
    auto* holding = row.add_holdings();
    holding->set_host(m_host);
    holding->set_incarnation(m_incarnation);
    holding->set_tokens(want);
    return row;
}

auto BudgetLedger::recall(ProgramKey key, ProgramPtr program, std::uint64_t need) -> Async<std::uint64_t>
{
    const auto isHeldElsewhere = std::ranges::any_of(
        program->row.holdings(), [this](const auto& holding) { return holding.host() != m_host; });
    if (!isHeldElsewhere) {
        co_return 0;
    }
    auto request = peers::messages::Request();
    request.mutable_grant_query()->set_account(key.account);
    request.mutable_grant_query()->set_program(key.program);
    request.mutable_grant_query()->set_tokens(need);
    const auto answers =
        co_await peers::askAll(m_peers, m_peers.everyone(), std::move(request), s_queryTimeout, [](const auto&) { return false; });
    auto underWay = std::uint64_t{0};
    for (const auto& response : answers.responses) {
        program->holding.grant(response.granted());
        underWay += response.reserved();
    }
    co_return underWay;
}

auto BudgetLedger::borrow(ProgramKey key, ProgramPtr program, std::uint64_t most, bool isFirstTurn) -> Async<bool>
{
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(most);
    query.set_budget(program->budget);
    const auto everyone = m_peers.everyone();
    const auto answers = co_await peers::askAll(m_peers, everyone, request, s_queryTimeout, [](const auto&) { return false; });
    auto knower = std::string();
    for (const auto& response : answers.responses) {
        program->holding.grant(response.granted());
        if (response.knows_program() && (knower.empty() || response.address() < knower)) {
            knower = response.address();
        }
    }
    if (program->holding.free() >= most) {
        co_return true;
    }
    const auto isKnownHere = program->isRowKnown || program->unrecorded > 0;
    if (knower.empty() || (isKnownHere && m_peers.ownAddress() < knower)) {
        // NOTE A program that nobody knows any more gets one turn: a budget allows for one turn beyond it.
        const auto isForgotten = !isKnownHere && !isFirstTurn;
        if (program->isForgotten) {
            co_return false;
        }
        if (isForgotten) {
            program->isForgotten = true;
            program->unrecorded += most;
            program->holding.grant(most);
            co_return true;
        }
        co_return borrowHere(*program, most - program->holding.free());
    }
    query.set_may_borrow(true);
    const auto response = co_await m_peers.call(knower, std::move(request), s_queryTimeout);
    if (response) {
        program->holding.grant(response.value().granted());
    }
    co_return program->holding.free() >= most;
}

auto BudgetLedger::borrowHere(Program& program, std::uint64_t need) -> bool
{
    const auto taken = program.row.granted() + program.unrecorded + program.doubtfulGrant;
    if (program.budget < taken + need) {
        return false;
    }
    program.unrecorded += need;
    program.holding.grant(need);
    return true;
}

} // namespace laburnummill::programs
