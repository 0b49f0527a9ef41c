#include "programs/programtable.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Milliseconds;

constexpr auto s_format = std::uint32_t{1};

/// Longer than programs pause for tools and sub-agents.
constexpr auto s_idleTimeout = Milliseconds(60'000);

} // namespace

ProgramTable::ProgramTable(framework::asio::any_io_executor executor, const framework::IClock& clock, std::string host,
                           std::uint64_t incarnation)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
{}

auto ProgramTable::program(const ProgramKey& key) -> ProgramPtr
{
    auto& found = m_programs[key];
    if (!found) {
        found = std::make_shared<Program>(m_executor);
    }
    found->usedAt = m_clock.now();
    return found;
}

auto ProgramTable::find(const ProgramKey& key) const -> ProgramPtr
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? nullptr : found->second;
}

auto ProgramTable::unclaimedTokens(const Program& program) const -> std::uint64_t
{
    auto taken = std::uint64_t{0};
    auto own = program.holding.totalGranted();
    for (const auto& holding : program.row.holdings()) {
        if (isOwn(holding)) {
            own = std::max<std::uint64_t>(own, holding.granted());
        } else {
            taken += holding.granted();
        }
    }
    own = std::max(own, program.unconfirmedEntry);
    return program.budget - std::min(program.budget, taken + own);
}

auto ProgramTable::limitBudget(Program& program, std::uint64_t budget) -> void
{
    program.budget = program.budget == 0 ? budget : std::min(program.budget, budget);
}

auto ProgramTable::prepareChange(const ProgramKey& key, const Program& program, std::uint64_t tokens) const -> RowChange
{
    auto row = program.row;
    row.set_format(s_format);
    row.set_account(key.account);
    row.set_program(key.program);
    row.set_budget(program.budget);
    auto* own = static_cast<records::Holding*>(nullptr);
    for (auto& holding : *row.mutable_holdings()) {
        own = isOwn(holding) ? &holding : own;
    }
    if (own == nullptr) {
        own = row.add_holdings();
        own->set_host(m_host);
        own->set_incarnation(m_incarnation);
    }
    own->set_granted(std::max<std::uint64_t>(own->granted(), program.holding.totalGranted() + tokens));
    own->set_spent(program.holding.spent());
    for (const auto& [incarnation, granted] : program.lostGrants) {
        if (!hasEntry(program, incarnation)) {
            auto* lost = row.add_holdings();
            lost->set_incarnation(incarnation);
            lost->set_granted(granted);
            lost->set_spent(granted);
        }
    }
    const auto address = rowOf(key);
    auto value = row.SerializeAsString();
    return {.condition = {.address = address, .version = program.rowVersion},
            .put = {.address = address, .value = std::move(value)},
            .row = std::move(row),
            .tokens = tokens};
}

auto ProgramTable::onApplied(Program& program, RowChange change, std::uint64_t version) const -> void
{
    program.row = std::move(change.row);
    program.rowVersion = version;
    program.isRowKnown = true;
    program.unconfirmedEntry = 0;
    program.lostGrants.clear();
    program.holding.grant(change.tokens);
    // Tokens granted while the write was in progress are not in it.
    program.unrecordedTokens = program.holding.totalGranted() - std::min(program.holding.totalGranted(), ownEntry(program));
    program.changed.notify();
}

auto ProgramTable::adoptRow(Program& program, const store::Row* row) const -> void
{
    auto record = records::ProgramRecord();
    if (row != nullptr && !row->isRemoved && !record.ParseFromString(row->value)) {
        framework::logEvent(framework::LogLevel::Error, "programs", "program_row_unreadable", {{"row", row->address.key}});
    }
    for (const auto& holding : record.holdings()) {
        const auto unknown = isOwn(holding) ? holding.granted() - std::min(holding.granted(), program.holding.totalGranted()) : 0;
        if (isOwn(holding) && program.unconfirmedEntry > 0 && holding.granted() >= program.unconfirmedEntry) {
            program.holding.grant(unknown); // The write of unknown outcome was applied.
        } else {
            program.holding.countAsSpent(unknown); // This host has evicted the program since.
        }
    }
    if (record.budget() > 0) {
        limitBudget(program, record.budget());
    }
    program.unconfirmedEntry = 0;
    program.row = std::move(record);
    program.unrecordedTokens = program.holding.totalGranted() - std::min(program.holding.totalGranted(), ownEntry(program));
    program.rowVersion = row == nullptr || row->isRemoved ? store::s_absentRow : row->version;
    program.isRowKnown = true;
}

auto ProgramTable::onOutcomeUnknown(Program& program, const RowChange& change) const -> void
{
    for (const auto& holding : change.row.holdings()) {
        if (isOwn(holding)) {
            program.unconfirmedEntry = std::max<std::uint64_t>(program.unconfirmedEntry, holding.granted());
        }
    }
}

auto ProgramTable::ownEntry(const Program& program) const -> std::uint64_t
{
    const auto found = std::ranges::find_if(program.row.holdings(), [this](const auto& holding) { return isOwn(holding); });
    return found == program.row.holdings().end() ? 0 : found->granted();
}

auto ProgramTable::hasOtherHolders(const Program& program) const -> bool
{
    return std::ranges::any_of(program.row.holdings(), [this](const auto& holding) { return !isOwn(holding); });
}

auto ProgramTable::hasEntry(const Program& program, std::uint64_t incarnation) -> bool
{
    return std::ranges::any_of(program.row.holdings(), [incarnation](const auto& holding) { return holding.incarnation() == incarnation; });
}

auto ProgramTable::withUnrecordedTokens() const -> std::vector<std::pair<ProgramKey, ProgramPtr>>
{
    auto found = std::vector<std::pair<ProgramKey, ProgramPtr>>();
    for (const auto& [key, program] : m_programs) {
        if (program->unrecordedTokens > 0 && !program->isRowBeingWritten) {
            found.emplace_back(key, program);
        }
    }
    return found;
}

auto ProgramTable::hasUnrecordedTokens() const -> bool
{
    return std::ranges::any_of(m_programs, [](const auto& entry) { return entry.second->unrecordedTokens > 0; });
}

auto ProgramTable::removeExpired() -> void
{
    std::erase_if(m_programs, [this](const auto& entry) {
        const auto& program = *entry.second;
        return program.usedAt + s_idleTimeout < m_clock.now() && program.holding.reserved() == 0 && program.unrecordedTokens == 0 &&
               !program.isRowBeingWritten;
    });
}

auto ProgramTable::rowOf(const ProgramKey& key) -> store::RowAddress
{
    return {.table = "programs", .partition = partitionName(partitionOf(key)), .key = key.account + "/" + key.program};
}

auto ProgramTable::isOwn(const records::Holding& holding) const -> bool
{
    return holding.host() == m_host && holding.incarnation() == m_incarnation;
}

} // namespace laburnummill::programs
