#pragma once

#include "backends/statedload.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/hostsighting.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::peers {

/// State of another host by its last heartbeat.
struct Peer
{
    std::string address;                           ///< IP:PORT for calls and heartbeats
    messages::Heartbeat last;                      ///< empty if none was received yet
    std::map<std::string, std::uint64_t> admitted; ///< requests admitted since its current start, by client account
    framework::Instant knownSince{};
    framework::Instant lostStateAt{};     ///< see HostSighting
    framework::Instant lastHeartbeatAt{}; ///< the epoch if no heartbeat was received yet
};

/// Requests that another host has admitted for a client account since its previous heartbeat.
struct RemoteAdmissions
{
    std::string account;
    std::int64_t requests = 0;
};

/// Changes in a heartbeat since the previous one of the same host.
struct HeartbeatUpdate
{
    bool isStale = false; ///< older than one received before; to be ignored
    bool isFirst = false; ///< first heartbeat of this incarnation
    std::vector<RemoteAdmissions> admitted;
};

/// Heartbeats carry fractions in thousandths.
inline constexpr auto s_permille = 1'000.0;

/// Load of a backend server by requests of other hosts.
struct RemoteBackendLoad
{
    int running = 0;          ///< requests under way
    int overdue = 0;          ///< number of these requests without a response for unusually long
    double failureShares = 0; ///< fractions of failed requests, summed over the hosts
};

/// The request rate that a backend server accepts from all hosts together, as stated to another host.
struct ReportedLimit
{
    double perSecond = 0;
    framework::Instant statedAt{}; ///< when the other host received the answer, at the latest
};

/// The load that a backend server has stated to another host.
struct ReportedLoad
{
    backends::LoadStatement load;
    framework::Instant statedAt{}; ///< when the other host received the answer, at the latest
};

/// Recent requests of another host for a service.
struct RemoteDemand
{
    std::string_view address;
    std::optional<double> perSecond; ///< nullopt if the host has not reported it
    framework::Instant reportedAt{};
};

/// Destinations of one heartbeat.
struct HeartbeatTargets
{
    std::vector<std::string> direct; ///< hosts that do not forward the heartbeat
    std::vector<std::string> relays; ///< hosts of other data centres that forward the heartbeat within their data centre
};

/// The other known hosts and their last heartbeats. Performs no I/O.
class PeerTable
{
public:
    explicit PeerTable(std::string ownAddress);

    /// Adds a host whose address comes from settings, the store or another host.
    auto addHost(std::string_view address, framework::Instant now) -> void;

    /// Applies a heartbeat and returns the changes since the previous one.
    auto receive(const messages::Heartbeat& heartbeat, framework::Instant now) -> HeartbeatUpdate;

    /// Reachable hosts: those with a recent heartbeat, leaving hosts included.
    auto reachablePeers(framework::Instant now) const -> std::vector<const Peer*>;

    /// The reachable host with this address; null if there is none.
    auto reachablePeer(std::string_view address, framework::Instant now) const -> const Peer*;

    /// Fraction of reachable hosts among the hosts that may be serving, this host included; 0 to 1.
    auto reachableFraction(framework::Instant now) const -> double;

    using Suspects = std::map<std::string, framework::Instant, std::less<>>;

    /// Number of hosts that may be serving and are unreachable or, by address, in `suspects`. A host that is leaving no longer counts.
    auto countUnreachable(const Suspects& suspects, framework::Instant now) const -> int;

    /// Number of hosts that may be serving, this host included.
    auto fleetSize() const -> int;

    /// Number of hosts that may be serving: those in the table, whether reachable or leaving, removed ones and this host.
    auto membershipSize() const -> int;

    /// All other hosts that may be serving or have served recently, unreachable and removed ones included. A host that has ended is
    /// listed, too, beside the host that has taken its address since.
    auto sightings() const -> std::vector<HostSighting>;

    /// Removes hosts that have sent no heartbeat for a long time.
    auto removeExpired(framework::Instant now) -> void;

    using Filter = std::function<bool(const Peer&)>;

    /// Visits the known hosts, unreachable ones included.
    auto forEach(const std::function<void(const Peer&)>& visit) const -> void;

    /// Whether any known host passes `filter`. hasHeartbeatSince() considers only hosts that sent a heartbeat at or after `since`.
    auto isAnyKnown(const Filter& filter) const -> bool;
    auto hasHeartbeatSince(framework::Instant since, const Filter& filter) const -> bool;

    auto isKnown(std::string_view address) const -> bool { return m_peers.contains(address); }

    /// Returns the destinations of heartbeat number `sequence`: all hosts of this host's data centre and of small data
    /// centres, and one relay in each large data centre, because traffic between data centres is expensive. The relay alternates.
    /// Relays that become unreachable are replaced by reachable hosts.
    auto targets(std::string_view ownDataCentre, std::uint64_t sequence, framework::Instant now) const -> HeartbeatTargets;

    /// Addresses of the known hosts of a data centre.
    auto addressesIn(std::string_view dataCentre) const -> std::vector<std::string>;

    /// Whether the host is reachable, still has this incarnation and holds no turns that are missing in the store. A later
    /// incarnation has lost such turns.
    auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation, framework::Instant now) const -> bool;

    /// Address of the reachable host with this name and incarnation; empty if there is none.
    auto addressOf(std::string_view host, std::uint64_t incarnation, framework::Instant now) const -> std::string;

    /// Addresses of removed hosts. Heartbeats are sent there occasionally: after a long network partition both sides have
    /// removed each other.
    auto removedAddresses() const -> std::vector<std::string>;

    /// Load of backend servers as reported by all reachable hosts, by backendHash().
    auto remoteBackendLoads(framework::Instant now) const -> std::map<std::uint32_t, RemoteBackendLoad>;

    /// The latest limit of each backend server that reachable hosts report, by incarnationHash().
    auto reportedLimits(framework::Instant now) const -> std::map<std::uint64_t, ReportedLimit>;

    /// The latest load statement of each backend server that reachable hosts report, by backendHash().
    auto statedLoads(framework::Instant now) const -> std::map<std::uint32_t, ReportedLoad>;

    /// The other hosts that may send requests to the servers of the service with this backendHash(): the known ones, except those
    /// that have left.
    auto demandsFor(std::uint32_t service, framework::Instant now) const -> std::vector<RemoteDemand>;

    /// Incarnations of backend servers that reachable hosts report as leaving, by incarnationHash().
    auto leavingBackends(framework::Instant now) const -> std::set<std::uint64_t>;

private:
    /// A host without heartbeats that is no longer in the table.
    struct RemovedHost
    {
        framework::Instant removedAt{};
        Peer peer;
    };

    auto isReachable(const Peer& peer, framework::Instant now) const -> bool;
    auto addDataCentreTargets(std::vector<const Peer*> peers, std::uint64_t sequence, framework::Instant now,
                              HeartbeatTargets& targets) const -> void;

    std::string m_ownAddress;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, RemovedHost, std::less<>> m_removed;
    std::map<std::uint64_t, HostSighting> m_ended; ///< by incarnation
};

/// Identifies a backend server in heartbeats.
auto backendHash(std::string_view id) -> std::uint32_t;

/// Identifies one incarnation of a backend server in heartbeats. `startedAt`: Unix milliseconds.
auto incarnationHash(std::string_view id, std::int64_t startedAt) -> std::uint64_t;

/// Maximum number of leaving servers in one heartbeat, 8 bytes each. If there are more, consecutive heartbeats carry different ones.
inline constexpr auto s_maxLeavingBackends = std::size_t{32};

/// Adds up to s_maxLeavingBackends of `incarnations` to the heartbeat; the first one depends on the heartbeat's sequence.
auto addLeavingBackends(messages::Heartbeat& heartbeat, const std::vector<std::uint64_t>& incarnations) -> void;

/// A backend server's limit to be reported.
struct LimitReport
{
    std::uint64_t incarnation = 0; ///< incarnationHash() of the server
    double perSecond = 0;
    framework::Milliseconds age{0}; ///< since the answer that stated it arrived
};

/// Maximum number of limits in one heartbeat, some 16 bytes each. If there are more, consecutive heartbeats carry different ones.
inline constexpr auto s_maxLimitedBackends = std::size_t{16};

/// Adds up to s_maxLimitedBackends of `limits` to the heartbeat; the first one depends on the heartbeat's sequence.
auto addLimitedBackends(messages::Heartbeat& heartbeat, const std::vector<LimitReport>& limits) -> void;

/// A backend server's load statement to be reported.
struct LoadReport
{
    std::uint32_t backend = 0; ///< backendHash() of the server
    backends::LoadStatement load;
    framework::Milliseconds age{0}; ///< since the answer that stated it arrived
};

/// Maximum number of load statements in one heartbeat, some 20 bytes each.
inline constexpr auto s_maxStatedLoads = std::size_t{16};

/// Adds the newest of `loads` to the heartbeat, up to s_maxStatedLoads.
auto addStatedLoads(messages::Heartbeat& heartbeat, std::vector<LoadReport> loads) -> void;

} // namespace laburnummill::peers
