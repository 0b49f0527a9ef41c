#include "scheduling/limitshares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnummill::scheduling {

namespace {

using framework::Instant;

/// Hosts of a group beyond one for each request per second that the server accepts. A server tolerates a few requests more than
/// its limit for a moment.
constexpr auto s_extraGroupHosts = 2;

/// Lowest weight of a host, as a fraction of the average demand: a host whose demand begins has a share until it is reported.
constexpr auto s_minWeight = 0.2;

/// Time constant of the average rate. Covers two reports in a large fleet.
constexpr auto s_rateSeconds = 2.0;

auto averageOf(const std::vector<HostDemand>& hosts) -> double
{
    auto sum = 0.0;
    auto reported = 0;
    for (const auto& host : hosts) {
        sum += host.perSecond.value_or(0);
        reported += host.perSecond ? 1 : 0;
    }
    return sum > 0 ? sum / reported : 1.0;
}

} // namespace

LimitShares::LimitShares(std::uint64_t ownHost, std::vector<HostDemand> hosts, std::vector<std::uint64_t> servers)
    : m_servers(std::move(servers))
{
    std::ranges::sort(hosts, {}, &HostDemand::host);
    std::ranges::sort(m_servers);
    const auto average = averageOf(hosts);
    for (const auto& host : hosts) {
        if (host.host == ownHost) {
            m_ownPosition = m_hosts.size();
        }
        m_hosts.push_back({.host = host.host, .weight = std::max(host.perSecond.value_or(average), average * s_minWeight)});
    }
}

auto LimitShares::shareOf(std::uint64_t server, double perSecond) const -> double
{
    const auto hosts = m_hosts.size();
    if (hosts == 0) {
        return perSecond;
    }
    const auto position = std::ranges::lower_bound(m_servers, server);
    const auto isKnown = position != m_servers.end() && *position == server;
    const auto index = static_cast<std::size_t>(position - m_servers.begin());
    const auto first = isKnown ? index * hosts / m_servers.size() : server % hosts;
    const auto group = groupSize(perSecond);
    if ((m_ownPosition + hosts - first) % hosts >= group) {
        return 0;
    }
    auto weights = 0.0;
    for (auto member = std::size_t{0}; member < group; ++member) {
        weights += m_hosts[(first + member) % hosts].weight;
    }
    return perSecond * m_hosts[m_ownPosition].weight / weights;
}

auto LimitShares::groupSize(double perSecond) const -> std::size_t
{
    const auto hosts = m_hosts.size();
    // Each host should belong to the group of some server even if all are limited.
    const auto least = m_servers.empty() ? hosts : (hosts + m_servers.size() - 1) / m_servers.size();
    const auto most = std::min(perSecond, static_cast<double>(hosts)) + s_extraGroupHosts;
    return std::min(hosts, std::max(least, static_cast<std::size_t>(most)));
}

auto EventRate::add(Instant now) -> void
{
    m_perSecond = perSecond(now) + 1 / s_rateSeconds;
    m_updatedAt = now;
}

auto EventRate::perSecond(Instant now) const -> double
{
    return m_perSecond * std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / s_rateSeconds);
}

} // namespace laburnummill::scheduling
