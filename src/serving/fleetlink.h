#pragma once

#include "accounts/countupdates.h"
#include "accounts/fleetlimiter.h"
#include "framework/global/iclock.h"
#include "framework/global/workcount.h"
#include "framework/metrics/metrics.h"
#include "peers/heartbeatschedule.h"
#include "peers/ipeers.h"
#include "peers/peertable.h"
#include "peers/peertransport.h"
#include "programs/budgetledger.h"
#include "programs/fleetmembership.h"
#include "programs/storepartitions.h"
#include "programs/turnjournal.h"
#include "scheduling/connectionlimit.h"
#include "scheduling/crashhistory.h"
#include "serving/fleetstate.h"
#include "serving/hostsettings.h"
#include "serving/overloadmonitor.h"
#include "serving/rolloutcontrol.h"
#include "serving/serverconnector.h"
#include "serving/serverlimits.h"
#include "store/groupedstore.h"
#include "store/routedstore.h"

#include <set>

namespace laburnummill::serving {

/// Names of the two tables in requests for changes between hosts.
inline constexpr auto s_operatorTableName = "operator";
inline constexpr auto s_backendTableName = "backends";

/// State of this host that is exchanged with other hosts.
struct SharedState
{
    FleetState& fleetState;
    accounts::FleetLimiter& limiter;
    scheduling::CrashHistory& crashes;
    ServerLimits& serverLimits;
    OverloadMonitor& overload;
    store::IStore& directStore;
    scheduling::BufferMemory& bufferMemory;
    scheduling::ConnectionLimit connectionLimit;
    store::RoutedStore* store = nullptr;
    store::GroupedStore* groupedStore = nullptr;
    store::StoreHealth* storeHealth = nullptr;
    programs::TurnJournal* journal = nullptr;
    programs::BudgetLedger* budgets = nullptr;
    ServerConnector* connector = nullptr;
    RolloutControl* rollouts = nullptr;
};

/// Connects this host to its peers: sends and receives heartbeats, makes calls and answers those of others.
class FleetLink final : public peers::IPeers, public peers::IPeerHandler, public programs::IOutageScope, public IServerRelays
{
public:
    FleetLink(framework::asio::any_io_executor executor, const HostSettings& settings, peers::PeerSockets sockets,
              std::uint64_t incarnation, const framework::IClock& clock, framework::Metrics& metrics, SharedState& state);

    auto start() -> void;
    auto stop() -> void;

    auto addHost(const std::string& address) -> void { m_table.addHost(address, m_clock.now()); }
    auto fleetSize() const -> int { return m_table.fleetSize(); }
    auto setReady(bool isReady) -> void { m_isReady = isReady; }

    /// Connections to backend servers that this host relays for others.
    auto relays() const -> int { return m_port.relays(); }

    /// Whether this host reaches neither the store nor any host of another data centre, although other data centres have hosts.
    auto isIsolated() const -> bool;

    /// Whether this host is cut off from the store and, maybe with others, from hosts that may reach it.
    auto isCutOff() const -> bool;

    /// Immediately announces to all peers that this host is leaving.
    auto announceLeave() -> void;

    /// Announces to all peers that this host ends now, with everything stored.
    auto announceEnd() -> void;

    /// The register of hosts in the store has this incarnation.
    auto markRegistered() -> void { m_isRegistered = true; }

    /// Takes over the hosts that the register names.
    auto applyRegister(const std::vector<programs::records::HostRecord>& registered) -> void
    {
        m_membership.applyRegister(registered, m_clock.now());
    }
    auto isRegisterKnown() const -> bool { return m_membership.isRegisterKnown(); }

    auto reachableHosts() const -> std::vector<std::string> override;
    auto home(std::string_view program) const -> std::string override;
    auto replicaHosts(std::string_view program) const -> std::vector<std::string> override;
    auto committer(std::string_view partition) const -> std::string override;
    auto storeProxies() const -> std::vector<std::string> override;
    auto serverRelays() const -> std::vector<std::string> override;
    auto isServerRelay(std::string_view address) const -> bool override;
    auto unreachableHosts() const -> int override;
    auto sightings() const -> std::vector<peers::HostSighting> override;
    auto membershipSize() const -> int override { return std::max(m_table.membershipSize(), m_membership.size()); }
    auto outageScope() const -> programs::OutageScope override { return outageVerdict().scope; }
    auto mayOthersReachStore() const -> bool override { return !outageVerdict().host.empty(); }
    auto mayHaveForgottenSupport() const -> bool override;
    auto outageReports(std::uint64_t programs) const -> peers::OutageReports override;
    auto hasRecordedGrants(std::string_view address, std::uint64_t incarnation, std::uint64_t programs) const -> bool override;
    auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool override;
    auto addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string override;
    auto ownAddress() const -> std::string override { return m_settings.peerAddress; }
    auto ownIncarnation() const -> std::uint64_t override { return m_incarnation; }
    auto call(std::string address, peers::messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<peers::messages::Response> override;

    auto onHeartbeat(const peers::messages::Heartbeat& heartbeat) -> void override;
    auto onRequest(peers::messages::Request request) -> framework::Async<peers::messages::Response> override;
    auto connectForPeer(peers::messages::RelayQuery query) -> framework::Async<peers::SocketPtr> override;

private:
    enum class Table
    {
        Operator,
        Backends,
    };

    /// Peers with recent heartbeats, without those in `m_suspects`.
    auto reachablePeers() const -> std::vector<const peers::Peer*>;
    /// Hosts with their rank for `key`, unordered; the lowest rank has the highest priority. All hosts that reach the same peers
    /// compute the same ranks.
    using Ranks = std::vector<std::pair<std::uint64_t, std::string_view>>;
    auto ranksOf(std::string_view key, bool isOwnDataCentre) const -> Ranks;
    /// A host that may be the home of a program, with the part of its rank that does not depend on the program.
    struct HomeCandidate
    {
        std::string address;
        std::uint64_t seed = 0;
    };
    /// The reachable hosts of the own data centre, this one included, unless they leave.
    auto homeCandidates() const -> const std::vector<HomeCandidate>&;
    /// Addresses of the reachable hosts that pass `filter` and do not leave, of the own data centre first, rotated so that calls are spread
    /// over them.
    auto hostsToCall(const peers::PeerTable::Filter& filter) const -> std::vector<std::string>;
    auto heartbeatLoop() -> framework::Async<void>;
    auto makeHeartbeat() -> peers::messages::Heartbeat;
    auto addBackends(peers::messages::Heartbeat& heartbeat) const -> void;
    auto sendToAll() -> void;
    auto forward(peers::messages::Heartbeat heartbeat) -> void;
    /// Which hosts an outage concerns, judged anew every few tens of milliseconds: each answer that waits asks for it.
    auto outageVerdict() const -> const programs::OutageVerdict&;
    /// Notes whether the store answers, and logs what an outage concerns.
    auto updateMembership() -> void;
    /// Takes the latest reports of the other hosts on the backend servers.
    auto refreshBackends() -> void;
    auto addCrashes(peers::messages::Heartbeat& heartbeat) const -> void;
    auto addSpentPrograms(peers::messages::Heartbeat& heartbeat) const -> void;
    /// Hosts of the release before do not report grants: while one of them may have made some, it counts as an unreachable grantor.
    auto recordFormerReleaseOutage() -> void;
    auto addOutageGrants(peers::messages::Heartbeat& heartbeat) const -> void;
    /// The partitions of the store that do not answer this host while others do.
    auto ownAwayPartitions() const -> std::uint32_t;
    /// Takes over which partitions of the store do not answer other hosts.
    auto refreshAwayPartitions() -> void;
    auto receiveSpentPrograms(const peers::messages::Heartbeat& heartbeat) -> void;
    auto receiveCrashes(const peers::messages::Heartbeat& heartbeat) -> void;
    auto addStatedLoads(peers::messages::Heartbeat& heartbeat) const -> void;
    auto fetchChanges(std::string address, Table table, bool isAuthoritative) -> framework::Async<void>;
    auto answerStoreCall(const peers::messages::Request& request) -> framework::Async<peers::messages::Response>;
    auto addTurns(const peers::messages::TurnQuery& query, peers::messages::Response& response) const -> void;
    auto answerChanges(const peers::messages::Changes& changes) const -> peers::messages::Response;

    framework::asio::any_io_executor m_executor;
    const HostSettings& m_settings;
    std::uint64_t m_incarnation;
    std::uint64_t m_startedAt; ///< Unix milliseconds
    const framework::IClock& m_clock;
    framework::Metrics& m_metrics;
    SharedState& m_state;
    peers::PeerTable m_table;
    programs::FleetMembership m_membership;
    mutable programs::OutageVerdict m_outageVerdict;
    mutable framework::Instant m_outageJudgedAt{};
    programs::OutageScope m_loggedScope = programs::OutageScope::Undecided;
    bool m_hasLoggedOutage = false;
    std::uint32_t m_announcedAwayPartitions = 0;
    bool m_announcedStore = true; ///< whether the last heartbeat said that the store is reached
    peers::PeerTransport m_port;
    peers::HeartbeatSchedule m_pace;
    accounts::CountUpdates m_countUpdates;
    std::uint64_t m_sequence = 0;
    /// Time of the last failed call, by address, of hosts from which no heartbeat has been received since.
    std::map<std::string, framework::Instant, std::less<>> m_suspects;
    mutable std::vector<HomeCandidate> m_homeCandidates;
    mutable framework::Instant m_homeCandidatesAt{}; ///< the epoch if they have to be listed anew
    framework::Instant m_backendsRefreshedAt{};
    framework::Instant m_formerReleaseOutageAt{};
    bool m_isReady = false;
    bool m_isRegistered = false;
    bool m_hasEnded = false;
    bool m_isLeaving = false;
    bool m_isStopped = false;
    std::array<framework::WorkCount, 2> m_fetches; ///< of changes from another host, by table
};

} // namespace laburnummill::serving
