#include "programs/programtable.h"

#include "framework/logging/log.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace laburnummill::programs {

namespace {

using framework::Milliseconds;

constexpr auto s_format = std::uint32_t{1};

/// Longer than programs pause for tools and sub-agents.
constexpr auto s_idleTimeout = Milliseconds(60'000);

/// The value of an entry; negative if the host has given back tokens of other hosts' entries.
auto balanceOf(const records::Holding& holding) -> std::int64_t
{
    return static_cast<std::int64_t>(holding.granted()) - static_cast<std::int64_t>(holding.returned());
}

auto entryOf(records::ProgramRecord& row, const records::Holding& wanted) -> records::Holding*
{
    for (auto& holding : *row.mutable_holdings()) {
        if (holding.incarnation() == wanted.incarnation() && (holding.host() == wanted.host() || holding.host().empty())) {
            return &holding;
        }
    }
    return nullptr;
}

/// The row with the entries that other partitions have: of two of one incarnation, that of the later write.
auto merged(const Program& program) -> records::ProgramRecord
{
    auto row = program.row;
    for (const auto& [incarnation, elsewhere] : program.entriesElsewhere) {
        auto* entry = entryOf(row, elsewhere.holding);
        if (entry == nullptr) {
            *row.add_holdings() = elsewhere.holding;
        } else if (entry->write() < elsewhere.holding.write()) {
            *entry = elsewhere.holding;
        }
    }
    return row;
}

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
    auto others = std::int64_t{0};
    auto own = program.holding.balance() + static_cast<std::int64_t>(program.releasedTokens);
    const auto withOthers = program.entriesElsewhere.empty() ? std::nullopt : std::optional(merged(program));
    const auto& row = withOthers ? *withOthers : program.row;
    for (const auto& holding : row.holdings()) {
        if (isOwn(holding)) {
            own = std::max(own, balanceOf(holding));
        } else {
            others += balanceOf(holding);
        }
    }
    own = std::max(own, static_cast<std::int64_t>(program.unconfirmedEntry));
    const auto taken = static_cast<std::uint64_t>(std::max<std::int64_t>(others + own, 0));
    return program.budget - std::min(program.budget, taken);
}

auto ProgramTable::limitBudget(Program& program, std::uint64_t budget) -> void
{
    program.budget = program.budget == 0 ? budget : std::min(program.budget, budget);
}

auto ProgramTable::prepareChange(const ProgramKey& key, Program& program, std::uint64_t tokens) -> RowChange
{
    auto row = merged(program);
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
    setBalance(program, program.holding.balance() + static_cast<std::int64_t>(tokens), *own);
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

auto ProgramTable::onApplied(Program& program, RowChange change, std::uint64_t version) -> void
{
    program.row = std::move(change.row);
    program.rowVersion = version;
    program.isRowKnown = true;
    program.rowReadAt = m_clock.now();
    program.unconfirmedEntry = 0;
    program.releasedTokens = 0;
    program.lostGrants.clear();
    program.holding.grant(change.tokens);
    updateUnrecorded(program); // Tokens granted while the write was in progress are not in it.
    dropRecordedEntries(program);
    program.changed.notify();
}

auto ProgramTable::adoptRow(Program& program, const store::Row* row) -> void
{
    const auto version = row == nullptr || row->isRemoved ? store::s_absentRow : row->version;
    if (program.releasedTokens > 0 && version == program.rowVersion) {
        program.rowReadAt = m_clock.now();
        return; // The write that gives tokens back may still be applied, so that they must not be used.
    }
    auto record = records::ProgramRecord();
    if (row != nullptr && !row->isRemoved && !record.ParseFromString(row->value)) {
        framework::logEvent(framework::LogLevel::Error, "programs", "program_row_unreadable", {{"row", row->address.key}});
    }
    const auto entry = ownEntry(record);
    const auto difference = entry - program.holding.balance();
    const auto unknown = static_cast<std::uint64_t>(std::max<std::int64_t>(difference, 0));
    if (isEntryCurrent(program, record)) {
        program.holding.grant(unknown); // A claim that seemed to have failed was applied, or a release was not.
    } else {
        // This host has evicted the program since, and does not know what it has used.
        const auto kept = std::min(unknown, program.releasedTokens);
        program.holding.grant(kept);
        program.holding.countAsSpent(unknown - kept);
        program.holding.countAsReleased(static_cast<std::uint64_t>(!program.isRowKnown && entry < 0 ? -entry : 0));
    }
    program.releasedTokens = 0;
    program.rowReadAt = m_clock.now();
    if (record.budget() > 0) {
        limitBudget(program, record.budget());
    }
    program.unconfirmedEntry = 0;
    program.row = std::move(record);
    updateUnrecorded(program);
    program.rowVersion = version;
    program.isRowKnown = true;
    dropRecordedEntries(program);
}

auto ProgramTable::prepareGrantRow(const ProgramKey& key, Program& program, std::uint32_t partition) -> GrantRow
{
    auto grant = GrantRow{.key = key,
                          .budget = program.budget,
                          .holding = {},
                          .writtenAt = static_cast<std::uint64_t>(framework::unixMilliseconds(m_clock.wallTime())),
                          .address = {}};
    grant.holding.set_host(m_host);
    grant.holding.set_incarnation(m_incarnation);
    setBalance(program, program.holding.balance(), grant.holding);
    grant.address = grantRowAddress(key, grant.holding, partition);
    return grant;
}

auto ProgramTable::onGrantRowWritten(Program& program, const GrantRow& grant) -> void
{
    program.ownElsewhere.add(grant);
}

auto ProgramTable::areGrantsStored(const Program& program) const -> bool
{
    const auto isInOther = !program.ownElsewhere.rows.empty() && balanceOf(program.ownElsewhere.holding) >= program.holding.balance();
    return program.unrecordedTokens == 0 || isInOther;
}

auto ProgramTable::addEntryElsewhere(const GrantRow& grant) -> void
{
    if (isOwn(grant.holding)) {
        return;
    }
    const auto found = program(grant.key);
    if (grant.budget > 0) {
        limitBudget(*found, grant.budget);
    }
    found->entriesElsewhere[grant.holding.incarnation()].add(grant);
    dropRecordedEntries(*found);
}

auto ProgramTable::dropRecordedEntries(Program& program) -> void
{
    const auto isRecorded = [&program](const EntryElsewhere& elsewhere) {
        const auto* entry = entryOf(program.row, elsewhere.holding);
        return entry != nullptr && entry->write() >= elsewhere.holding.write();
    };
    const auto drop = [this](EntryElsewhere& elsewhere) {
        std::ranges::move(elsewhere.rows, std::back_inserter(m_dispensableRows));
        elsewhere = {};
    };
    for (auto& [incarnation, elsewhere] : program.entriesElsewhere) {
        if (isRecorded(elsewhere)) {
            drop(elsewhere);
        }
    }
    std::erase_if(program.entriesElsewhere, [](const auto& entry) { return entry.second.rows.empty(); });
    if (!program.ownElsewhere.rows.empty() && isRecorded(program.ownElsewhere)) {
        drop(program.ownElsewhere);
    }
}

auto ProgramTable::setBalance(Program& program, std::int64_t balance, records::Holding& entry) -> void
{
    entry.set_granted(static_cast<std::uint64_t>(std::max<std::int64_t>(balance, 0)));
    entry.set_returned(static_cast<std::uint64_t>(std::max<std::int64_t>(-balance, 0)));
    entry.set_spent(program.holding.spent());
    entry.set_write(++m_writes);
    program.firstWrite = program.firstWrite == 0 ? m_writes : program.firstWrite;
}

auto ProgramTable::onOutcomeUnknown(Program& program, const RowChange& change) const -> void
{
    for (const auto& holding : change.row.holdings()) {
        if (isOwn(holding)) {
            program.unconfirmedEntry = std::max<std::uint64_t>(program.unconfirmedEntry, holding.granted());
        }
    }
}

auto ProgramTable::ownEntry(const records::ProgramRecord& row) const -> std::int64_t
{
    const auto found = std::ranges::find_if(row.holdings(), [this](const auto& holding) { return isOwn(holding); });
    return found == row.holdings().end() ? 0 : balanceOf(*found);
}

auto ProgramTable::isEntryCurrent(const Program& program, const records::ProgramRecord& row) const -> bool
{
    return program.firstWrite > 0 && std::ranges::any_of(row.holdings(), [this, &program](const auto& holding) {
               return isOwn(holding) && holding.write() >= program.firstWrite;
           });
}

auto ProgramTable::updateUnrecorded(Program& program) const -> void
{
    const auto difference = program.holding.balance() - ownEntry(program.row);
    program.unrecordedTokens = static_cast<std::uint64_t>(std::max<std::int64_t>(difference, 0));
}

auto ProgramTable::release(Program& program, std::uint64_t tokens) -> std::uint64_t
{
    const auto released = program.holding.release(tokens);
    program.releasedTokens += released;
    return released;
}

auto ProgramTable::revokeRelease(Program& program, std::uint64_t tokens) -> void
{
    const auto revoked = std::min(tokens, program.releasedTokens);
    program.holding.grant(revoked);
    program.releasedTokens -= revoked;
}

auto ProgramTable::hasOtherHolders(const Program& program) const -> bool
{
    return std::ranges::any_of(program.row.holdings(), [this](const auto& holding) { return !isOwn(holding); });
}

auto ProgramTable::hasEntry(const Program& program, std::uint64_t incarnation) -> bool
{
    return program.entriesElsewhere.contains(incarnation) ||
           std::ranges::any_of(program.row.holdings(), [incarnation](const auto& holding) { return holding.incarnation() == incarnation; });
}

auto ProgramTable::withUnrecordedTokens() const -> std::vector<std::pair<ProgramKey, ProgramPtr>>
{
    auto found = std::vector<std::pair<ProgramKey, ProgramPtr>>();
    for (const auto& [key, program] : m_programs) {
        if ((program->unrecordedTokens > 0 || !program->entriesElsewhere.empty()) && !program->isRowBeingWritten) {
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
               !program.isRowBeingWritten && program.entriesElsewhere.empty();
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
