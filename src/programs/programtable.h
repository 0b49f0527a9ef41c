#pragma once

#include "framework/global/iclock.h"
#include "framework/global/signal.h"
#include "programs/grantrows.h"
#include "programs/tokenholding.h"
#include "programs/turn.h"
#include "programs/turnrecords.pb.h"
#include "store/storetypes.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace laburnummill::programs {

/// State of a program on this host.
struct Program
{
    explicit Program(framework::asio::any_io_executor executor)
        : changed(std::move(executor))
    {}

    std::uint64_t budget = 0; ///< 0 until a turn or the row states it
    TurnHistory history = TurnHistory::KeptByHosts;
    TokenHolding holding;
    records::ProgramRecord row; ///< as last read or written
    std::uint64_t rowVersion = store::s_absentRow;
    bool isRowKnown = false;
    bool isRowBeingWritten = false;     ///< or read: there is one call for it at a time
    std::uint64_t unrecordedTokens = 0; ///< granted here during a store outage, not yet in the row
    std::uint64_t unconfirmedEntry = 0; ///< value of this host's entry if a write of unknown outcome was applied
    std::uint64_t firstWrite = 0; ///< number of the first write of the row since the program was added to the table; 0 if there was none
    std::uint64_t releasedTokens = 0;  ///< given back by a write that is not known to be applied
    std::uint64_t turnTokens = 0;      ///< the most that one of its turns may generate, as far as this host has seen
    framework::Instant rowReadAt{};    ///< when the row was last read or written
    framework::Instant tokensUsedAt{}; ///< when a turn last reserved or returned tokens
    std::string supportedGrantor;      ///< address of the only host whose grants without the store this host supports; may be empty
    std::uint64_t supportedIncarnation = 0;
    framework::Instant supportedAt{};     ///< when this host began to support it
    std::uint64_t supporters = 0;         ///< hosts that support the grants of this host, itself included
    std::uint64_t fleetSize = 0;          ///< the largest number of hosts that a supporter has stated
    std::uint64_t awaitedTokens = 0;      ///< tokens that waiting turns need
    bool hasUnrecordedFromHome = false;   ///< tokens of the home host on this host may be missing from the row
    std::set<std::string> advanceHolders; ///< addresses of hosts that may hold tokens of this host, the home
    /// Tokens that hosts may have granted without the store before they lost their state, by incarnation; the row is to contain them.
    std::map<std::uint64_t, std::uint64_t> lostGrants;
    /// Entries of other incarnations that are not known to be in the row, by incarnation.
    std::map<std::uint64_t, EntryElsewhere> entriesElsewhere;
    EntryElsewhere ownElsewhere; ///< the entry of this host that its own row may not contain; without rows if there is none
    bool isContinued = false;    ///< a turn has continued another one of the program, which therefore has used tokens
    framework::Instant usedAt{};
    framework::Signal changed;
};

using ProgramPtr = std::shared_ptr<Program>;

/// A conditional write of a program's row that claims `tokens` more for this host and gives back those that it has released.
struct RowChange
{
    store::Condition condition;
    store::Put put;
    records::ProgramRecord row;
    std::uint64_t tokens = 0;
};

/// The programs that run turns on this host and their rows as last read or written. Does no I/O.
class ProgramTable
{
public:
    ProgramTable(framework::asio::any_io_executor executor, const framework::IClock& clock, std::string host, std::uint64_t incarnation);

    /// Returns the program; adds it if it is missing.
    auto program(const ProgramKey& key) -> ProgramPtr;

    /// Returns null if the program is not in the table.
    auto find(const ProgramKey& key) const -> ProgramPtr;

    /// Tokens of the budget that no host has claimed, by the row as last read or written.
    auto unclaimedTokens(const Program& program) const -> std::uint64_t;

    /// Takes up to `tokens` free tokens of the program from this host; the next write of the row gives them back to the budget.
    static auto release(Program& program, std::uint64_t tokens) -> std::uint64_t;

    /// Makes tokens usable on this host again whose release was certainly not written.
    static auto revokeRelease(Program& program, std::uint64_t tokens) -> void;

    /// Sets the program's budget. The lowest value that its turns and its row state is valid.
    static auto limitBudget(Program& program, std::uint64_t budget) -> void;

    /// Builds the write that claims `tokens` more and records grants made during a store outage, also those that hosts have lost.
    auto prepareChange(const ProgramKey& key, Program& program, std::uint64_t tokens) -> RowChange;

    /// Updates the program after the write was applied with `version`.
    auto onApplied(Program& program, RowChange change, std::uint64_t version) -> void;

    /// Replaces the program's row by `row`, as found in the store; null if there is none.
    auto adoptRow(Program& program, const store::Row* row) -> void;

    /// Notes that the write may or may not have been applied.
    auto onOutcomeUnknown(Program& program, const RowChange& change) const -> void;

    /// Builds a row for another partition with all that this host has granted.
    auto prepareGrantRow(const ProgramKey& key, Program& program, std::uint32_t partition) -> GrantRow;

    /// Notes that the row was written.
    static auto onGrantRowWritten(Program& program, const GrantRow& grant) -> void;

    /// Whether the row of the program or one in another partition has all that this host has granted.
    auto areGrantsStored(const Program& program) const -> bool;

    /// Takes over an entry of another incarnation that was found in another partition.
    auto addEntryElsewhere(const GrantRow& grant) -> void;

    /// Rows in other partitions that the rows of their programs have made dispensable; they are returned once.
    auto takeDispensableRows() -> std::vector<store::RowAddress> { return std::exchange(m_dispensableRows, {}); }

    auto addDispensableRow(store::RowAddress row) -> void { m_dispensableRows.push_back(std::move(row)); }

    /// Whether the row has entries of other hosts.
    auto hasOtherHolders(const Program& program) const -> bool;

    /// Whether the program's row, or one in another partition, has an entry of this incarnation of a host.
    static auto hasEntry(const Program& program, std::uint64_t incarnation) -> bool;

    /// Programs with tokens that are not in their rows: granted by this host, or known from rows in other partitions.
    auto withUnrecordedTokens() const -> std::vector<std::pair<ProgramKey, ProgramPtr>>;

    /// Whether there are such programs, including those whose rows are being written.
    auto hasUnrecordedTokens() const -> bool;

    /// Removes programs that have been idle for 60 s.
    auto removeExpired() -> void;

    auto size() const -> std::size_t { return m_programs.size(); }

    auto programs() const -> const std::map<ProgramKey, ProgramPtr>& { return m_programs; }

    static auto rowOf(const ProgramKey& key) -> store::RowAddress;

private:
    /// The value of this host's entry; negative if it has given back tokens of other hosts' entries.
    auto ownEntry(const records::ProgramRecord& row) const -> std::int64_t;
    auto updateUnrecorded(Program& program) const -> void;
    /// Sets the value of this host's entry, and numbers the write.
    auto setBalance(Program& program, std::int64_t balance, records::Holding& entry) -> void;
    /// Sorts out what the row contains of the entries in other partitions.
    auto dropRecordedEntries(Program& program) -> void;
    /// Whether this host's entry in `row` was written since the program was added to the table.
    auto isEntryCurrent(const Program& program, const records::ProgramRecord& row) const -> bool;
    auto isOwn(const records::Holding& holding) const -> bool;

    framework::asio::any_io_executor m_executor;
    const framework::IClock& m_clock;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::map<ProgramKey, ProgramPtr> m_programs;
    std::uint64_t m_writes = 0; ///< of rows, so far
    std::vector<store::RowAddress> m_dispensableRows;
};

} // namespace laburnummill::programs
