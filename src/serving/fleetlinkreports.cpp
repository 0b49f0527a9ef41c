#include "serving/fleetlink.h"

#include "serving/serverleavelog.h"

#include <algorithm>
#include <cmath>

// What heartbeats tell of backend servers and programs.

namespace laburnummill::serving {

namespace {

using framework::Milliseconds;
namespace messages = peers::messages;

/// Time over which the running requests of other hosts are averaged. Programs return to the engine that has cached their prompts, so that
/// the average tells more than a snapshot of requests that end within some tenths of a second.
constexpr auto s_averageTime = Milliseconds(800);

/// Reports of failed servers in one heartbeat, some 20 bytes each.
constexpr auto s_maxCrashReports = std::size_t{32};

/// Hosts that could not reach the store record the tokens they granted within this time after its return.
constexpr auto s_formerReleaseOutageRetention = Milliseconds(10'000);

/// Smaller failure shares are not reported. One failure adds 0.1 to a host's share and counts for about 5 s.
constexpr auto s_minReportedFailureShare = 0.02;

} // namespace

auto FleetLink::addBackends(messages::Heartbeat& heartbeat) const -> void
{
    const auto now = m_clock.now();
    auto leaving = std::vector<std::uint64_t>();
    for (const auto& [id, backend] : m_state.fleetState.backends().all()) {
        if (backend->leave->isToBeShared(now)) {
            leaving.push_back(peers::incarnationHash(id, backend->entry.startedAt));
        }
        const auto failures = backend->health.failureShare(now);
        const auto isReported = failures >= s_minReportedFailureShare;
        if (backend->running == 0 && !isReported) {
            continue;
        }
        auto* use = heartbeat.add_backends();
        use->set_backend(peers::backendHash(id));
        use->set_running(static_cast<std::uint32_t>(backend->running));
        use->set_overdue(static_cast<std::uint32_t>(backend->overdue(now)));
        use->set_failure_permille(isReported ? static_cast<std::uint32_t>(failures * peers::s_permille) : 0);
    }
    peers::addLeavingBackends(heartbeat, leaving);
    m_state.serverLimits.addTo(heartbeat, now);
    m_state.overload.addTo(heartbeat, now);
    m_state.rollouts->addTo(heartbeat);
}

auto FleetLink::addCrashes(messages::Heartbeat& heartbeat) const -> void
{
    for (const auto& report : m_state.crashes.reports(s_maxCrashReports, m_clock.now())) {
        auto* crash = heartbeat.add_server_crashes();
        crash->set_fingerprint(report.fingerprint);
        crash->set_server(report.server);
        crash->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(report.age.count(), 0)));
        crash->set_is_answered(report.isAnswered);
    }
}

auto FleetLink::receiveCrashes(const messages::Heartbeat& heartbeat) -> void
{
    const auto now = m_clock.now();
    auto reports = std::vector<scheduling::CrashReport>();
    for (const auto& crash : heartbeat.server_crashes()) {
        reports.push_back({.fingerprint = crash.fingerprint(),
                           .server = crash.server(),
                           .age = Milliseconds(crash.age_ms()),
                           .isAnswered = crash.is_answered()});
    }
    m_state.crashes.merge(reports, now);
    for (const auto& count : heartbeat.crashes()) {
        m_state.crashes.setCount(heartbeat.address(), count.fingerprint(), count.crashes(), now);
    }
}

auto FleetLink::addSpentPrograms(messages::Heartbeat& heartbeat) const -> void
{
    for (const auto& spent : m_state.budgets->spentPrograms().reports(m_sequence, m_clock.now())) {
        auto* reported = heartbeat.add_spent_programs();
        reported->set_program(spent.program);
        reported->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(spent.age.count(), 0)));
    }
}

auto FleetLink::addOutageGrants(messages::Heartbeat& heartbeat) const -> void
{
    const auto grants = m_state.budgets->outageGrants();
    heartbeat.set_reports_outage_grants(true);
    heartbeat.set_outage_grants(grants.own.bits());
    heartbeat.set_supported_grants(grants.supported.bits());
}

auto FleetLink::ownAwayPartitions() const -> std::uint32_t
{
    auto away = m_state.storeHealth->awayPartitions();
    std::erase_if(away, [this](const std::string& partition) { return !m_state.storeHealth->isAwayAlone(partition); });
    return programs::partitionSet(away);
}

auto FleetLink::refreshAwayPartitions() -> void
{
    auto away = std::uint32_t{0};
    for (const auto* peer : reachablePeers()) {
        away |= peer->last.reaches_store() ? peer->last.away_partitions() : 0;
    }
    m_state.storeHealth->setReportedAway(programs::partitionsIn(away));
}

auto FleetLink::outageReports(std::uint64_t programs) const -> peers::OutageReports
{
    const auto now = m_clock.now();
    auto reports = peers::OutageReports{.grantors = {},
                                        .witnesses = {},
                                        .isAnyGrantorUnreachable = m_formerReleaseOutageAt != framework::Instant{} &&
                                                                   now < m_formerReleaseOutageAt + s_formerReleaseOutageRetention};
    m_table.forEach([&](const peers::Peer& peer) {
        const auto isGrantor = (peer.last.outage_grants() & programs) != 0;
        if (!isGrantor && (peer.last.supported_grants() & programs) == 0) {
            return;
        }
        const auto isReachable = m_table.reachablePeer(peer.address, now) != nullptr && !m_suspects.contains(peer.address);
        if (isReachable) {
            (isGrantor ? reports.grantors : reports.witnesses).push_back(peer.address);
        } else if (isGrantor) {
            reports.isAnyGrantorUnreachable = true;
        }
    });
    return reports;
}

auto FleetLink::hasRecordedGrants(std::string_view address, std::uint64_t incarnation, std::uint64_t programs) const -> bool
{
    const auto* peer = m_table.reachablePeer(address, m_clock.now());
    return peer != nullptr && !m_suspects.contains(address) && peer->last.incarnation() == incarnation &&
           peer->last.reports_outage_grants() && (peer->last.outage_grants() & programs) == 0;
}

auto FleetLink::recordFormerReleaseOutage() -> void
{
    const auto now = m_clock.now();
    const auto mayHaveGranted = [this, now](const peers::Peer& peer) {
        const auto isFormer = peer.last.incarnation() != 0 && !peer.last.reports_outage_grants() && !peer.last.is_leaving();
        return isFormer && (!peer.last.reaches_store() || peer.last.unwritten_turns() > 0 ||
                            m_table.reachablePeer(peer.address, now) == nullptr || m_suspects.contains(peer.address));
    };
    if (m_table.isAnyKnown(mayHaveGranted)) {
        m_formerReleaseOutageAt = now;
    }
}

auto FleetLink::receiveSpentPrograms(const messages::Heartbeat& heartbeat) -> void
{
    auto reports = std::vector<programs::SpentProgram>();
    for (const auto& spent : heartbeat.spent_programs()) {
        reports.push_back({.program = spent.program(), .age = Milliseconds(spent.age_ms())});
    }
    m_state.budgets->spentPrograms().merge(reports, m_clock.now());
}

auto FleetLink::addStatedLoads(messages::Heartbeat& heartbeat) const -> void
{
    const auto now = m_clock.now();
    auto loads = std::vector<peers::LoadReport>();
    for (const auto& [id, backend] : m_state.fleetState.backends().all()) {
        const auto stated = backend->load.toReport(now);
        if (stated && (stated->load.pace || m_settings.overloadControl == OverloadControl::ByPrograms)) {
            loads.push_back({.backend = peers::backendHash(id),
                             .load = stated->load,
                             .age = std::chrono::duration_cast<Milliseconds>(now - stated->statedAt)});
        }
    }
    peers::addStatedLoads(heartbeat, std::move(loads));
}

auto FleetLink::refreshBackends() -> void
{
    const auto now = m_clock.now();
    const auto reported = m_table.remoteBackendLoads(now);
    const auto stated = m_table.statedLoads(now);
    const auto sinceRefresh = std::chrono::duration<double>(now - m_backendsRefreshedAt) / std::chrono::duration<double>(s_averageTime);
    const auto weight = 1 - std::exp(-sinceRefresh);
    m_backendsRefreshedAt = now;
    const auto leaving = m_table.leavingBackends(now);
    for (const auto& [id, backend] : m_state.fleetState.backends().all()) {
        const auto found = reported.find(peers::backendHash(id));
        const auto remote = found == reported.end() ? peers::RemoteBackendLoad() : found->second;
        backend->runningRemotely = remote.running;
        backend->averageRunningRemotely += weight * (remote.running - backend->averageRunningRemotely);
        if (const auto load = stated.find(peers::backendHash(id)); load != stated.end()) {
            backend->load.recordPeer(load->second.load, load->second.statedAt);
        }
        if (leaving.contains(peers::incarnationHash(id, backend->entry.startedAt))) {
            const auto wasLeaving = backend->leave->isLeaving();
            backend->leave->recordPeer(now);
            logLeaveChange(*backend, wasLeaving, now);
        }
        backend->health.setRemoteReports({.failureShares = remote.failureShares, .overdue = remote.overdue});
    }
}

} // namespace laburnummill::serving
