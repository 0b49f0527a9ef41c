#pragma once

#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::peers {

/// Another host as it was heard last.
struct Peer
{
    std::string address;                           ///< of its peer port, IP:PORT
    messages::Heartbeat last;                      ///< empty where it was never heard
    std::map<std::string, std::uint64_t> admitted; ///< of its present start, by client account
    framework::Instant knownSince{};
    framework::Instant lastHeartbeatAt{}; ///< the epoch where it was never heard
};

/// Requests that another host admitted for a client account since its heartbeat before.
struct RemoteAdmissions
{
    std::string account;
    std::int64_t requests = 0;
};

/// What one heartbeat tells beyond the one before.
struct HeartbeatUpdate
{
    bool isStale = false; ///< older than one already taken; to be ignored
    bool isFirst = false; ///< of this incarnation
    std::vector<RemoteAdmissions> admitted;
};

/// Heartbeats tell shares in thousandths.
inline constexpr auto s_permille = 1'000.0;

/// What other hosts say of a backend server.
struct RemoteBackendLoad
{
    int running = 0;          ///< requests under way
    int overdue = 0;          ///< of these, without an answer for unusually long
    double failureShares = 0; ///< sum over the hosts
};

/// Where one heartbeat goes.
struct HeartbeatTargets
{
    std::vector<std::string> direct; ///< hosts that take it for themselves
    std::vector<std::string> relays; ///< hosts of other data centres that pass it on within theirs
};

/// Who the other hosts are and which of them are heard. Holds no socket.
class PeerTable
{
public:
    explicit PeerTable(std::string ownAddress);

    /// Learns of a host from settings, store or another host.
    auto addHost(std::string_view address, framework::Instant now) -> void;

    auto receive(const messages::Heartbeat& heartbeat, framework::Instant now) -> HeartbeatUpdate;

    /// Hosts heard lately, those that are leaving included.
    auto reachablePeers(framework::Instant now) const -> std::vector<const Peer*>;

    /// Share of the hosts that may be serving that are heard, this one included; 0 to 1.
    auto reachableFraction(framework::Instant now) const -> double;

    /// Hosts that may be serving, this one included.
    auto fleetSize() const -> int;

    /// Drops hosts that were not heard for long.
    auto removeExpired(framework::Instant now) -> void;

    using Filter = std::function<bool(const Peer&)>;

    /// Whether a host that passes `filter` is known, or was heard since a moment.
    auto isAnyKnown(const Filter& filter) const -> bool;
    auto hasHeartbeatSince(framework::Instant since, const Filter& filter) const -> bool;

    auto isKnown(std::string_view address) const -> bool { return m_peers.contains(address); }

    /// Where heartbeat number `sequence` goes: to all hosts of the own data centre and of small ones, and to a few of each
    /// large one in turn, as bytes between data centres are dear. Relays that fall silent are replaced by others that are heard.
    auto targets(std::string_view ownDataCentre, std::uint64_t sequence, framework::Instant now) const -> HeartbeatTargets;

    /// Other hosts of a data centre.
    auto addressesIn(std::string_view dataCentre) const -> std::vector<std::string>;

    /// Whether a host is silent or was forgotten lately, so that it may serve unseen behind a cut.
    auto isAnyHostUnaccountedFor(framework::Instant now) const -> bool;

    /// Whether that incarnation of a host is heard and holds no turns that the store lacks. A later one has lost them.
    auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation, framework::Instant now) const -> bool;

    /// Heard hosts that began after `since` (Unix milliseconds) and have lost what an earlier start of them held.
    auto countRestartedSince(std::uint64_t since, framework::Instant now) const -> int;

    /// Addresses of hosts that were forgotten. Heartbeats go there now and then: two sides of a long cut have forgotten
    /// each other when it heals.
    auto removedAddresses() const -> std::vector<std::string>;

    /// What all heard hosts say of backend servers (see backendHash()).
    auto remoteBackendLoads(framework::Instant now) const -> std::map<std::uint32_t, RemoteBackendLoad>;

private:
    auto isReachable(const Peer& peer, framework::Instant now) const -> bool;
    auto addDataCentreTargets(std::vector<const Peer*> peers, std::uint64_t sequence, framework::Instant now,
                              HeartbeatTargets& targets) const -> void;

    std::string m_ownAddress;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, framework::Instant, std::less<>> m_removed;
};

/// How heartbeats name a backend server.
auto backendHash(std::string_view id) -> std::uint32_t;

} // namespace laburnummill::peers
