#include "serving/serverlimits.h"

#include "framework/global/digest.h"
#include "framework/logging/log.h"
#include "serving/serverlimitlog.h"

#include <algorithm>
#include <set>

namespace laburnummill::serving {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Interval at which the split of a service's limits is logged.
constexpr auto s_logInterval = Milliseconds(2'000);

} // namespace

auto ServerLimits::applyShares(const std::string& service, const std::vector<BackendPtr>& servers, Instant now) const -> void
{
    const auto limited = m_limited.find(service);
    const auto unsplit = scheduling::LimitShares();
    const auto& shares = limited == m_limited.end() ? unsplit : limited->second.shares;
    for (const auto& server : servers) {
        const auto limit = server->limit->current(now);
        server->limitShare = limit ? std::optional(shares.shareOf(framework::hash64(server->entry.id), limit->perSecond)) : std::nullopt;
    }
}

auto ServerLimits::update(const peers::PeerTable& peers, Instant now) -> void
{
    recordReports(peers, now);
    auto services = std::set<std::string>();
    for (const auto& [id, backend] : m_backends.all()) {
        if (backend->limit->current(now)) {
            services.insert(backend->entry.service);
        }
    }
    std::erase_if(m_limited, [&services](const auto& entry) { return !services.contains(entry.first); });
    for (const auto& service : services) {
        splitLimits(service, peers, now);
    }
}

auto ServerLimits::recordReports(const peers::PeerTable& peers, Instant now) -> void
{
    const auto reported = peers.reportedLimits(now);
    if (reported.empty()) {
        return;
    }
    for (const auto& [id, backend] : m_backends.all()) {
        const auto found = reported.find(peers::incarnationHash(id, backend->entry.startedAt));
        if (found != reported.end()) {
            const auto before = backend->limit->current(now);
            backend->limit->recordPeer(found->second.perSecond, found->second.statedAt);
            logLimitChange(*backend, before, now);
        }
    }
}

auto ServerLimits::splitLimits(const std::string& service, const peers::PeerTable& peers, Instant now) -> void
{
    const auto own = framework::hash64(m_ownAddress);
    const auto demands = peers.demandsFor(peers::backendHash(service), now);
    auto hosts = std::vector<scheduling::HostDemand>{{.host = own, .perSecond = m_demands[service].perSecond(now)}};
    for (const auto& demand : demands) {
        hosts.push_back({.host = framework::hash64(demand.address), .perSecond = demand.perSecond});
    }
    auto servers = std::vector<std::uint64_t>();
    for (const auto& [id, backend] : m_backends.all()) {
        if (backend->entry.service == service) {
            servers.push_back(framework::hash64(id));
        }
    }
    auto& limited = m_limited[service];
    limited.shares = scheduling::LimitShares(own, std::move(hosts), std::move(servers));
    if (now >= limited.loggedAt + s_logInterval) {
        logSplit(service, limited, demands, now);
    }
}

auto ServerLimits::logSplit(const std::string& service, LimitedService& limited, const std::vector<peers::RemoteDemand>& demands,
                            Instant now) -> void
{
    limited.loggedAt = now;
    auto count = 0;
    auto total = 0.0;
    auto own = 0.0;
    auto oldestStatement = now;
    for (const auto& [id, backend] : m_backends.all()) {
        const auto limit = backend->limit->current(now);
        if (limit && backend->entry.service == service) {
            ++count;
            total += limit->perSecond;
            own += limited.shares.shareOf(framework::hash64(id), limit->perSecond);
            oldestStatement = std::min(oldestStatement, limit->statedAt);
        }
    }
    const auto silent = std::ranges::count_if(demands, [](const auto& demand) { return !demand.perSecond; });
    auto oldestReport = now;
    auto demandOfOthers = 0.0;
    for (const auto& demand : demands) {
        oldestReport = std::min(oldestReport, demand.perSecond ? demand.reportedAt : now);
        demandOfOthers += demand.perSecond.value_or(0);
    }
    m_metrics.setGauge("limited_servers", count, {{"service", service}});
    framework::logEvent(framework::LogLevel::Info, "serving", "server_limits_split",
                        {{"service", service},
                         {"limitedServers", count},
                         {"limitPerSecond", total},
                         {"ownPerSecond", own},
                         {"hosts", limited.shares.hosts()},
                         {"hostsWithoutReport", silent},
                         {"ownDemandPerSecond", m_demands[service].perSecond(now)},
                         {"reportedDemandPerSecond", demandOfOthers},
                         {"oldestStatementMs", std::chrono::duration_cast<Milliseconds>(now - oldestStatement).count()},
                         {"oldestReportMs", std::chrono::duration_cast<Milliseconds>(now - oldestReport).count()},
                         {"waiting", m_waiting[service]}});
}

auto ServerLimits::addTo(peers::messages::Heartbeat& heartbeat, Instant now) const -> void
{
    auto limits = std::vector<peers::LimitReport>();
    for (const auto& [id, backend] : m_backends.all()) {
        if (const auto limit = backend->limit->toReport(now)) {
            limits.push_back({.incarnation = peers::incarnationHash(id, backend->entry.startedAt),
                              .perSecond = limit->perSecond,
                              .age = std::chrono::duration_cast<Milliseconds>(now - limit->statedAt)});
        }
    }
    peers::addLimitedBackends(heartbeat, limits);
    for (const auto& [service, limited] : m_limited) {
        const auto demand = m_demands.find(service);
        auto* reported = heartbeat.add_demands();
        reported->set_service(peers::backendHash(service));
        reported->set_milli_per_second(
            demand == m_demands.end() ? 0 : static_cast<std::uint32_t>(demand->second.perSecond(now) * peers::s_permille));
    }
}

} // namespace laburnummill::serving
