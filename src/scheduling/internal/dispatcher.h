#pragma once

#include "framework/global/json.h"
#include "scheduling/internal/ipolicy.h"

#include <map>
#include <set>
#include <unordered_map>

namespace laburnummill::scheduling {

/// Counts of a dispatcher's decisions and of violated invariants, which must stay 0.
struct DispatcherCounts
{
    std::uint64_t submitted = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t overflowed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t permitsEnded = 0;
    std::uint64_t permitsExpired = 0;
    std::uint64_t grantsBeyondBound = 0; ///< invariant: a back end never has more requests than its capacity
    std::uint64_t grantsToDrained = 0;   ///< invariant: a drained back end gets no new requests
    std::uint64_t inconsistencies = 0;   ///< invariant: open permits match the engines' counts
};

/// The load last announced by another data centre's dispatcher of the pool.
struct PeerDispatcher
{
    std::string dataCentre;
    framework::Milliseconds expectedWait{0};
    bool takesNew = false;
};

/// Decides for one pool in one data centre which call runs next and on which engine. Single-threaded and deterministic: it
/// processes events with time stamps and produces actions; the same events give the same actions.
class Dispatcher
{
public:
    Dispatcher(std::unique_ptr<AdmissionRules> rules, std::unique_ptr<IPolicy> policy);

    /// Starts the dispatcher. It grants nothing before finishRecovery() is called or the recovery time has passed.
    auto begin(framework::Instant now) -> void;

    auto configure(const std::vector<EngineSpec>& engines, framework::Instant now) -> void;
    auto setWeight(const std::string& account, double weight) -> void { m_policy->setWeight(account, weight); }
    auto setPeerDispatchers(std::vector<PeerDispatcher> peers) -> void { m_peerDispatchers = std::move(peers); }

    /// Submits a call that requests a permit. Produces one action for the call, unless the call is cancelled first.
    auto submit(ScheduledCall call, framework::Instant now) -> void;

    /// Cancels a waiting call or ends its permit. Produces no action for this call.
    auto cancel(const PermitKey& key, framework::Instant now) -> void;

    /// Ends a permit on behalf of its executor.
    auto release(const PermitKey& key, const PermitUse& use, framework::Instant now) -> void;

    /// Replaces the recorded permits of the executor `holder` by `permits`, the complete list of its open permits. Recorded
    /// permits that are not in the list end. The executor's waiting calls are dropped.
    auto reconcilePermits(std::uint64_t holder, const std::vector<OpenPermit>& permits, framework::Instant now) -> void;

    /// Called when all live executors have reported their open permits; ends the recovery.
    auto finishRecovery(framework::Instant now) -> void;

    /// Drops the waiting calls of a dead executor. Its permits become orphans, which occupy slots until they expire or the
    /// engine's reports show that their requests have ended.
    auto markHolderDead(std::uint64_t holder, framework::Instant now) -> void;

    /// Processes an engine's load report. Reports that may have been created before this dispatcher started are ignored.
    auto handleReport(const std::string& engine, const EngineReport& report, framework::Instant now) -> void;

    /// Called when an engine's load could not be read.
    auto reportFailed(const std::string& engine, framework::Instant now) -> void;

    /// Records that the engine's cache holds `tokens` of `program`.
    auto cacheChanged(const std::string& engine, const std::string& program, std::uint64_t tokens) -> void;

    /// Processes expired deadlines and time limits.
    auto tick(framework::Instant now) -> void;

    /// Returns and clears the actions since the last call of this function.
    auto takeActions() -> std::vector<Action>;

    /// Estimated waiting time of a new call of `account`.
    auto expectedWait(const std::string& account, framework::Instant now) const -> framework::Milliseconds;

    auto isRecovering(framework::Instant now) const -> bool;
    auto waiting() const -> std::size_t { return m_waiting.size(); }
    auto openPermits() const -> std::size_t { return m_permits.size(); }
    auto engines() const -> const EngineRegistry& { return m_engines; }
    auto counts() const -> const DispatcherCounts& { return m_counts; }

    /// Whether permits, deadlines and engines' counts are consistent; an inconsistency is counted.
    auto checkConsistency() -> bool;

    auto dump(framework::Instant now) const -> framework::Json;

private:
    struct ActivePermit
    {
        OpenPermit permit;
        EngineIndex engine = 0;
        framework::Instant since;
        framework::Instant orphanedAt; ///< when the executor was marked as dead; set only for orphans
    };
    using ActivePermits = std::unordered_map<PermitKey, ActivePermit, PermitKeyHash>;

    auto refuse(const PermitKey& key, SchedulingError error, framework::Instant now) -> void;
    auto overflowOrRefuse(const PermitKey& key, framework::Instant now) -> void;
    auto overflowTarget(const ScheduledCall& call, framework::Instant now) const -> const PeerDispatcher*;
    auto removeWaiting(const PermitKey& key) -> void;
    auto grant(const Placement& placement, framework::Instant now) -> void;
    auto recordPermit(const OpenPermit& permit, EngineIndex engine, framework::Instant now) -> void;
    auto endPermit(ActivePermits::iterator held, const PermitUse& use, framework::Instant now) -> void;
    auto dropRequestsOf(std::uint64_t holder) -> void;
    auto reconcileOrphans(EngineIndex engine, framework::Instant now) -> void;
    auto orphanedOn(EngineIndex engine, framework::Instant orphanedBy) const -> std::vector<PermitKey>;
    auto confirmedRunning(EngineIndex engine, framework::Instant at) const -> std::uint32_t;
    auto endOrphaned(const std::vector<PermitKey>& keys, std::size_t amount, framework::Instant now) -> void;
    auto dispatch(framework::Instant now) -> void;
    auto shed(framework::Instant now) -> void;
    auto refuseExpired(framework::Instant now) -> void;
    auto expirePermits(framework::Instant now) -> void;
    auto queueBound(framework::Instant now) const -> std::size_t;

    std::unique_ptr<AdmissionRules> m_rules;
    std::unique_ptr<IPolicy> m_policy;
    EngineRegistry m_engines;
    std::unordered_map<PermitKey, ScheduledCall, PermitKeyHash> m_waiting;
    std::set<std::pair<framework::Instant, PermitKey>> m_deadlines;
    ActivePermits m_permits;
    std::set<std::pair<framework::Instant, PermitKey>> m_permitExpiries;
    std::set<PermitKey> m_orphaned;
    std::vector<PeerDispatcher> m_peerDispatchers;
    std::vector<Action> m_actions;
    DispatcherCounts m_counts;
    framework::Instant m_startedAt;
    bool m_hasPeerPermits = false;
    double m_meanPermitMs = 2'000;
};

} // namespace laburnummill::scheduling
