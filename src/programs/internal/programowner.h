#pragma once

#include "programs/internal/ileases.h"
#include "programs/internal/invariants.h"
#include "programs/internal/ownersettings.h"
#include "programs/internal/programstate.h"

#include <functional>
#include <memory>

namespace laburnummill::programs {

/// Counters of an owner.
struct OwnerCounts
{
    std::uint64_t dispatched = 0;
    std::uint64_t committed = 0; ///< turns
    std::uint64_t batches = 0;
    std::uint64_t heldTurns = 0;
    std::uint64_t claims = 0;
    std::uint64_t loads = 0;
    std::uint64_t lost = 0; ///< programs abandoned because another owner wrote their row or the lease expired
    std::uint64_t evicted = 0;
};

/// State machine for all programs that one host owns: turn order, budget and history. Takes events with their time and returns
/// the actions to execute. Does no I/O and uses no clock, thread or random numbers.
class ProgramOwner
{
public:
    ProgramOwner(OwnerSettings settings, std::shared_ptr<const ILeases> leases);

    auto setLimits(const configuration::ProgramLimits& limits) -> void { m_settings.limits = limits; }
    auto setPeers(std::size_t peers) -> void { m_peers = peers; }

    /// Starts a program with `program` as its id, which must be new; a sub-agent if the id extends that of a root.
    auto start(Ticket ticket, const std::string& program, const std::string& account, Moment moment) -> Actions;
    auto call(Ticket ticket, ProgramCall call, Moment moment) -> Actions;
    auto status(Ticket ticket, const std::string& account, const std::string& program, Moment moment) -> Actions;
    auto end(Ticket ticket, const std::string& account, const std::string& program, Moment moment) -> Actions;

    /// Loads a program whose records are still held by a peer, so that they get committed.
    auto recover(const std::string& program, Moment moment) -> Actions;

    auto loaded(const std::string& program, framework::Result<LoadedProgram> result, Moment moment) -> Actions;
    auto rowWritten(const std::string& program, framework::Result<std::uint64_t> result, Moment moment) -> Actions;
    auto callFinished(Ticket ticket, calls::CallOutcome outcome, Moment moment) -> Actions;
    auto batchWritten(framework::Result<std::vector<std::uint64_t>> result, Moment moment) -> Actions;
    auto rowsRead(framework::Result<std::vector<std::optional<platform::Row>>> result, Moment moment) -> Actions;
    auto recordHeld(const std::string& program, std::uint32_t turn, std::size_t copies, Moment moment) -> Actions;

    /// Handles time-outs, writes batches and evicts finished programs. Must be called every few milliseconds.
    auto tick(Moment moment) -> Actions;

    /// Whether a call is running or a record waits for its commit.
    auto isBusy() const -> bool;

    auto invariants() const -> const Invariants& { return m_invariants; }
    auto counts() const -> const OwnerCounts& { return m_counts; }
    auto queue() const -> const HistoryQueue& { return m_queue; }
    auto historyBytes() const -> std::size_t { return m_historyBytes; }
    auto isUnfinished(const std::string& program, std::uint64_t wallMs) const -> bool;

    /// For the state dump; contains no message texts.
    auto toJson() const -> framework::Json;

private:
    using StatePtr = std::shared_ptr<ProgramState>;
    using Then = std::function<void(const framework::Result<StatePtr>&, Moment)>;

    /// A program that is being loaded.
    struct Loading
    {
        std::vector<Then> then;
        std::uint64_t fencing = 0;
        std::uint32_t attempts = 0;
        StatePtr claimed;
        std::vector<ChainLink> held;
    };

    /// The batch that is being written.
    struct BatchInFlight
    {
        std::vector<ChainLink> links;
        std::vector<std::string> programs;
        std::map<std::string, ProgramRow> rows;
    };

    // Programs in memory
    auto withProgram(const std::string& program, Moment moment, Then then) -> void;
    auto beginLoading(const std::string& program, Moment moment) -> void;
    auto failLoading(const std::string& program, std::error_code error, Moment moment) -> void;
    auto build(const std::string& program, LoadedProgram& loaded, Loading& loading) -> framework::Result<StatePtr>;
    auto install(const std::string& program, Moment moment) -> void;
    auto abandon(const std::string& program, calls::Ran ran) -> void;
    auto evict() -> void;
    auto isIdle(const std::string& program, const ProgramState& state) const -> bool;
    auto isFamilyFinished(const std::string& program, const ProgramState& state, std::uint64_t wallMs) const -> bool;
    auto isFamilyRunning(const std::string& program) const -> bool;
    auto countFamily(const std::string& root, ProgramState& state, const std::vector<std::string>& lines) const -> void;
    auto carryOver(const ProgramState& before, ProgramState& state) -> void;
    auto reloadStale(Moment moment) -> void;

    // Calls
    auto admit(const StatePtr& state, Ticket ticket, ProgramCall call, Moment moment) -> void;
    auto checkAdmission(const ProgramState& state, const ProgramCall& call, Moment moment) const -> framework::Result<void>;
    auto dispatch(const StatePtr& state, Ticket ticket, ProgramCall call, Moment moment) -> void;
    auto hasRoomFor(const ProgramCall& call, Moment moment) const -> bool;
    auto finishTurn(const std::string& program, std::uint32_t turn, bool held, Moment moment) -> void;
    auto evictFinished(Moment moment) -> void;
    auto expireWaitingCalls(ProgramState& state, Moment moment) -> void;
    auto dispatchNext(const StatePtr& state, Moment moment) -> void;
    auto record(ProgramState& state, const calls::CallAnswer& answer, Moment moment) -> void;
    auto finishStart(const std::string& program, framework::Result<std::uint64_t> result) -> void;
    auto beginStart(Ticket ticket, const std::string& program, const std::string& account, Moment moment) -> void;

    // History
    auto writeBatch(Moment moment) -> void;
    enum class AddResult
    {
        Added,
        Deferred, ///< the program must first be reloaded under the new fencing number
        Rejected
    };
    auto addToBatch(const ChainLink& link) -> AddResult;
    auto composeBatch() -> WriteBatch;
    auto addEndToBatch(const std::string& program) -> void;
    auto rowInBatch(const std::string& program, std::uint64_t fencing) -> ProgramRow&;
    auto commitRow(const std::string& program, const ProgramRow& row, std::uint64_t version, Moment moment) -> void;
    auto reconcileRow(const std::string& program, const std::optional<platform::Row>& found, Moment moment) -> void;
    auto failPendingEnds() -> void;
    auto holdRecords(Moment moment) -> void;

    auto stateOf(const std::string& program) const -> StatePtr;
    auto refuse(Ticket ticket, std::error_code error, calls::Ran ran = calls::Ran::No) -> void;
    auto refuseStatus(Ticket ticket, std::error_code error, calls::Ran ran = calls::Ran::No) -> void;
    auto takeActions() -> Actions;

    OwnerSettings m_settings;
    std::shared_ptr<const ILeases> m_leases;
    HistoryQueue m_queue;
    Invariants m_invariants;
    OwnerCounts m_counts;
    Actions m_actions;
    std::map<std::string, StatePtr> m_programs;
    std::map<std::string, Loading> m_loading;
    std::map<std::string, std::pair<Ticket, StatePtr>> m_starting;
    std::map<Ticket, std::string> m_runs;
    std::map<std::string, std::vector<Ticket>> m_pendingEnds; ///< programs whose end must be written, and the waiting callers
    std::map<std::string, std::uint64_t> m_evicted;           ///< evicted programs and the fencing number under which they were loaded
    std::optional<BatchInFlight> m_batchInFlight;
    std::size_t m_peers = 0;
    std::size_t m_historyBytes = 0;
    std::size_t m_reservedBytes = 0; ///< for the records of running calls
    std::uint64_t m_uses = 0;
    framework::Instant m_reloadAt = framework::Instant::min();
    framework::Instant m_scanAt = framework::Instant::min();
    std::set<std::string> m_active; ///< programs with running or waiting calls
};

} // namespace laburnummill::programs
