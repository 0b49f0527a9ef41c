#include "peers/peertable.h"

#include "framework/global/digest.h"
#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::peers {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// A data centre of up to this many hosts receives heartbeats directly: relays would save little.
constexpr auto s_maxDirectTargets = std::size_t{6};

/// Relays of a larger data centre. They alternate, so that every second heartbeat still arrives if one of them has just failed.
constexpr auto s_relays = std::size_t{2};

/// A host without a heartbeat for longer than this is removed and assumed not to serve requests. Network faults and restarts
/// usually end sooner.
constexpr auto s_removeAfter = Milliseconds(15'000);

/// Heartbeats are occasionally sent to a removed host for this long. Partitions between data centres last minutes; a host
/// that returns after an hour is treated as a new one.
constexpr auto s_probeRemovedFor = std::chrono::hours(1);

/// Longer than turns are retained.
constexpr auto s_endedRetention = std::chrono::minutes(10);

constexpr auto s_percent = 100.0;

/// Higher limits are reported as this one, in requests per second.
constexpr auto s_maxReportedRate = 1e6;

/// Updates the counts in `known` and returns the differences. For the first count of an account only its `newly` part is
/// returned: earlier requests were reported to other hosts before, or were admitted before this host started.
auto updateAdmitted(std::map<std::string, std::uint64_t>& known, const messages::Heartbeat& heartbeat) -> std::vector<RemoteAdmissions>
{
    auto update = std::vector<RemoteAdmissions>();
    for (const auto& use : heartbeat.accounts()) {
        const auto before = use.admitted() - std::min(use.newly(), use.admitted());
        const auto [count, isNew] = known.try_emplace(use.account(), before);
        const auto difference = static_cast<std::int64_t>(use.admitted()) - static_cast<std::int64_t>(count->second);
        count->second = use.admitted();
        if (difference != 0) {
            update.push_back({.account = use.account(), .requests = difference});
        }
    }
    return update;
}

/// The part of a removed host's last heartbeat that identifies its incarnation.
auto identityOf(const messages::Heartbeat& heartbeat) -> messages::Heartbeat
{
    auto identity = messages::Heartbeat();
    identity.set_host(heartbeat.host());
    identity.set_incarnation(heartbeat.incarnation());
    identity.set_sequence(heartbeat.sequence());
    identity.set_started_at(heartbeat.started_at());
    identity.set_is_first_start(heartbeat.is_first_start());
    identity.set_is_registered(heartbeat.is_registered());
    return identity;
}

auto sightingOf(const Peer& peer) -> HostSighting
{
    return {.address = peer.address,
            .host = peer.last.host(),
            .incarnation = peer.last.incarnation(),
            .hasEnded = peer.last.has_ended(),
            .isFirstStart = peer.last.is_first_start(),
            .isRegistered = peer.last.is_registered(),
            .startedAt = peer.last.started_at(),
            .heardAt = peer.lastHeartbeatAt == Instant{} ? peer.knownSince : peer.lastHeartbeatAt,
            .lostStateAt = peer.lostStateAt};
}

} // namespace

PeerTable::PeerTable(std::string ownAddress)
    : m_ownAddress(std::move(ownAddress))
{}

auto PeerTable::addHost(std::string_view address, Instant now) -> void
{
    if (address.empty() || address == m_ownAddress || m_peers.contains(address)) {
        return;
    }
    auto peer = Peer{.address = std::string(address), .last = {}, .admitted = {}, .knownSince = now};
    if (const auto removed = m_removed.find(address); removed != m_removed.end()) {
        peer.last = removed->second.peer.last;
        peer.lostStateAt = removed->second.peer.lostStateAt;
        m_removed.erase(removed);
    }
    m_peers.emplace(std::string(address), std::move(peer));
}

auto PeerTable::receive(const messages::Heartbeat& heartbeat, Instant now) -> HeartbeatUpdate
{
    if (heartbeat.address() == m_ownAddress || heartbeat.address().empty()) {
        return {.isStale = true, .isFirst = false, .admitted = {}};
    }
    addHost(heartbeat.address(), now);
    auto& peer = m_peers.find(heartbeat.address())->second;
    const auto isSameStart = peer.last.incarnation() == heartbeat.incarnation();
    const auto isOlder = isSameStart ? heartbeat.sequence() <= peer.last.sequence() : heartbeat.incarnation() < peer.last.incarnation();
    if (isOlder) {
        return {.isStale = true, .isFirst = false, .admitted = {}};
    }
    auto update = HeartbeatUpdate{.isStale = false, .isFirst = !isSameStart, .admitted = {}};
    if (!isSameStart) {
        const auto isAccountedFor = peer.last.incarnation() == 0 || peer.last.is_registered() || peer.last.has_ended();
        peer.lostStateAt = isAccountedFor ? peer.lostStateAt : now;
        peer.admitted.clear();
    }
    update.admitted = updateAdmitted(peer.admitted, heartbeat);
    peer.last = heartbeat;
    peer.lastHeartbeatAt = now;
    if (heartbeat.has_ended()) {
        m_ended[heartbeat.incarnation()] = sightingOf(peer);
    }
    return update;
}

auto PeerTable::reachablePeers(Instant now) const -> std::vector<const Peer*>
{
    auto found = std::vector<const Peer*>();
    for (const auto& [address, peer] : m_peers) {
        if (isReachable(peer, now)) {
            found.push_back(&peer);
        }
    }
    return found;
}

auto PeerTable::reachablePeer(std::string_view address, Instant now) const -> const Peer*
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && isReachable(found->second, now) ? &found->second : nullptr;
}

auto PeerTable::reachableFraction(Instant now) const -> double
{
    auto reachableHosts = 1;
    auto hosts = 1;
    for (const auto& [address, peer] : m_peers) {
        if (peer.last.is_leaving()) {
            continue;
        }
        ++hosts;
        reachableHosts += isReachable(peer, now) ? 1 : 0;
    }
    return static_cast<double>(reachableHosts) / hosts;
}

auto PeerTable::countUnreachable(const Suspects& suspects, Instant now) const -> int
{
    return static_cast<int>(std::ranges::count_if(m_peers, [&](const auto& entry) {
        return !entry.second.last.is_leaving() && (!isReachable(entry.second, now) || suspects.contains(entry.first));
    }));
}

auto PeerTable::fleetSize() const -> int
{
    return 1 + static_cast<int>(std::ranges::count_if(m_peers, [](const auto& entry) { return !entry.second.last.is_leaving(); }));
}

auto PeerTable::membershipSize() const -> int
{
    return 1 + static_cast<int>(m_peers.size() + m_removed.size());
}

auto PeerTable::removeExpired(Instant now) -> void
{
    std::erase_if(m_peers, [this, now](const auto& entry) {
        const auto isExpired = std::max(entry.second.lastHeartbeatAt, entry.second.knownSince) + s_removeAfter < now;
        if (isExpired && !entry.second.last.is_leaving()) {
            auto removed = entry.second;
            removed.last = identityOf(entry.second.last);
            removed.admitted.clear();
            m_removed[entry.first] = {.removedAt = now, .peer = std::move(removed)};
        }
        return isExpired;
    });
    std::erase_if(m_removed, [now](const auto& entry) { return entry.second.removedAt + s_probeRemovedFor < now; });
    std::erase_if(m_ended, [now](const auto& entry) { return entry.second.heardAt + s_endedRetention < now; });
}

auto PeerTable::sightings() const -> std::vector<HostSighting>
{
    auto found = std::vector<HostSighting>();
    for (const auto& [address, peer] : m_peers) {
        found.push_back(sightingOf(peer));
    }
    for (const auto& [address, removed] : m_removed) {
        found.push_back(sightingOf(removed.peer));
    }
    for (const auto& [incarnation, ended] : m_ended) {
        found.push_back(ended);
    }
    return found;
}

auto PeerTable::hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation, Instant now) const -> bool
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && isReachable(found->second, now) && found->second.last.incarnation() == incarnation &&
           found->second.last.unwritten_turns() == 0;
}

auto PeerTable::addressOf(std::string_view host, std::uint64_t incarnation, Instant now) const -> std::string
{
    const auto found = std::ranges::find_if(m_peers, [&](const auto& entry) {
        const auto& last = entry.second.last;
        return last.incarnation() == incarnation && last.host() == host && isReachable(entry.second, now);
    });
    return found == m_peers.end() ? std::string() : found->first;
}

auto PeerTable::removedAddresses() const -> std::vector<std::string>
{
    auto found = std::vector<std::string>();
    for (const auto& [address, removed] : m_removed) {
        found.push_back(address);
    }
    return found;
}

auto PeerTable::targets(std::string_view ownDataCentre, std::uint64_t sequence, Instant now) const -> HeartbeatTargets
{
    auto targets = HeartbeatTargets();
    auto others = std::map<std::string, std::vector<const Peer*>>();
    for (const auto& [address, peer] : m_peers) {
        const auto& dataCentre = peer.last.data_centre();
        if (dataCentre.empty() || dataCentre == ownDataCentre) {
            targets.direct.push_back(address);
        } else {
            others[dataCentre].push_back(&peer);
        }
    }
    for (auto& [dataCentre, peers] : others) {
        addDataCentreTargets(std::move(peers), sequence, now, targets);
    }
    return targets;
}

auto PeerTable::addDataCentreTargets(std::vector<const Peer*> peers, std::uint64_t sequence, Instant now, HeartbeatTargets& targets) const
    -> void
{
    if (peers.size() <= s_maxDirectTargets) {
        for (const auto* peer : peers) {
            targets.direct.push_back(peer->address);
        }
        return;
    }
    const auto own = framework::hash64(m_ownAddress);
    std::ranges::sort(peers, {}, [own](const auto* peer) { return framework::hash64(peer->address, own); });
    auto unreachable = std::vector<const Peer*>();
    auto chosen = std::vector<const Peer*>();
    for (const auto* peer : peers) {
        if (!isReachable(*peer, now)) {
            unreachable.push_back(peer);
        } else if (!peer->last.is_leaving() && chosen.size() < s_relays) {
            chosen.push_back(peer);
        }
    }
    if (!chosen.empty()) {
        targets.relays.push_back(chosen[sequence % chosen.size()]->address);
    }
    // Unreachable hosts are probed in turn, so that both sides of a network partition reconnect when it ends.
    if (!unreachable.empty()) {
        targets.relays.push_back(unreachable[sequence % unreachable.size()]->address);
    }
}

auto PeerTable::addressesIn(std::string_view dataCentre) const -> std::vector<std::string>
{
    auto found = std::vector<std::string>();
    for (const auto& [address, peer] : m_peers) {
        if (peer.last.data_centre() == dataCentre) {
            found.push_back(address);
        }
    }
    return found;
}

auto PeerTable::remoteBackendLoads(Instant now) const -> std::map<std::uint32_t, RemoteBackendLoad>
{
    auto found = std::map<std::uint32_t, RemoteBackendLoad>();
    for (const auto* peer : reachablePeers(now)) {
        for (const auto& use : peer->last.backends()) {
            auto& backend = found[use.backend()];
            backend.running += static_cast<int>(use.running());
            backend.overdue += static_cast<int>(use.overdue());
            backend.failureShares += use.failure_permille() / s_permille;
        }
    }
    return found;
}

auto PeerTable::leavingBackends(Instant now) const -> std::set<std::uint64_t>
{
    auto found = std::set<std::uint64_t>();
    for (const auto* peer : reachablePeers(now)) {
        found.insert(peer->last.leaving_backends().begin(), peer->last.leaving_backends().end());
    }
    return found;
}

auto PeerTable::reportedLimits(Instant now) const -> std::map<std::uint64_t, ReportedLimit>
{
    auto found = std::map<std::uint64_t, ReportedLimit>();
    for (const auto* peer : reachablePeers(now)) {
        for (const auto& limit : peer->last.limited_backends()) {
            const auto statedAt = peer->lastHeartbeatAt - Milliseconds(limit.age_ms());
            auto& latest = found[limit.incarnation()];
            if (statedAt > latest.statedAt) {
                latest = {.perSecond = limit.milli_per_second() / s_permille, .statedAt = statedAt};
            }
        }
    }
    return found;
}

auto PeerTable::statedLoads(Instant now) const -> std::map<std::uint32_t, ReportedLoad>
{
    auto found = std::map<std::uint32_t, ReportedLoad>();
    for (const auto* peer : reachablePeers(now)) {
        for (const auto& stated : peer->last.stated_loads()) {
            const auto statedAt = peer->lastHeartbeatAt - Milliseconds(stated.age_ms());
            auto& latest = found[stated.backend()];
            if (statedAt <= latest.statedAt) {
                continue;
            }
            latest = {.load = {.running = static_cast<int>(stated.running()),
                               .waiting = static_cast<int>(stated.waiting()),
                               .pace = std::nullopt},
                      .statedAt = statedAt};
            if (stated.pace_percent() > 0) {
                latest.load.pace = stated.pace_percent() / s_percent;
            }
        }
    }
    return found;
}

auto PeerTable::demandsFor(std::uint32_t service, Instant now) const -> std::vector<RemoteDemand>
{
    auto found = std::vector<RemoteDemand>();
    for (const auto& [address, peer] : m_peers) {
        if (peer.last.is_leaving() && !isReachable(peer, now)) {
            continue;
        }
        auto demand = RemoteDemand{.address = address, .perSecond = std::nullopt, .reportedAt = peer.lastHeartbeatAt};
        for (const auto& reported : peer.last.demands()) {
            if (reported.service() == service) {
                demand.perSecond = reported.milli_per_second() / s_permille;
            }
        }
        found.push_back(demand);
    }
    return found;
}

auto addLimitedBackends(messages::Heartbeat& heartbeat, const std::vector<LimitReport>& limits) -> void
{
    const auto count = std::min(limits.size(), s_maxLimitedBackends);
    for (auto index = std::size_t{0}; index < count; ++index) {
        const auto& limit = limits[(heartbeat.sequence() * s_maxLimitedBackends + index) % limits.size()];
        auto* reported = heartbeat.add_limited_backends();
        reported->set_incarnation(limit.incarnation);
        reported->set_milli_per_second(static_cast<std::uint32_t>(std::min(limit.perSecond, s_maxReportedRate) * s_permille));
        reported->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(limit.age.count(), 0)));
    }
}

auto addStatedLoads(messages::Heartbeat& heartbeat, std::vector<LoadReport> loads) -> void
{
    std::ranges::sort(loads, {}, &LoadReport::age);
    loads.resize(std::min(loads.size(), s_maxStatedLoads));
    for (const auto& report : loads) {
        auto* stated = heartbeat.add_stated_loads();
        stated->set_backend(report.backend);
        stated->set_running(static_cast<std::uint32_t>(report.load.running));
        stated->set_waiting(static_cast<std::uint32_t>(report.load.waiting));
        stated->set_pace_percent(static_cast<std::uint32_t>(report.load.pace.value_or(0) * s_percent));
        stated->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(report.age.count(), 0)));
    }
}

auto incarnationHash(std::string_view id, std::int64_t startedAt) -> std::uint64_t
{
    return framework::hash64(id, static_cast<std::uint64_t>(startedAt));
}

auto addLeavingBackends(messages::Heartbeat& heartbeat, const std::vector<std::uint64_t>& incarnations) -> void
{
    const auto count = std::min(incarnations.size(), s_maxLeavingBackends);
    for (auto index = std::size_t{0}; index < count; ++index) {
        heartbeat.add_leaving_backends(incarnations[(heartbeat.sequence() * s_maxLeavingBackends + index) % incarnations.size()]);
    }
}

auto backendHash(std::string_view id) -> std::uint32_t
{
    return static_cast<std::uint32_t>(framework::hash64(id));
}

auto PeerTable::forEach(const std::function<void(const Peer&)>& visit) const -> void
{
    std::ranges::for_each(m_peers, [&visit](const auto& entry) { visit(entry.second); });
}

auto PeerTable::isAnyKnown(const Filter& filter) const -> bool
{
    return std::ranges::any_of(m_peers, [&filter](const auto& entry) { return filter(entry.second); });
}

auto PeerTable::hasHeartbeatSince(Instant since, const Filter& filter) const -> bool
{
    return std::ranges::any_of(m_peers, [&](const auto& entry) { return entry.second.lastHeartbeatAt >= since && filter(entry.second); });
}

auto PeerTable::isReachable(const Peer& peer, Instant now) const -> bool
{
    return peer.lastHeartbeatAt != Instant{} && now < peer.lastHeartbeatAt + unreachableAfter(1 + static_cast<int>(m_peers.size()));
}

} // namespace laburnummill::peers
