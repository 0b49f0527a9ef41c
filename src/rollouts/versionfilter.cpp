#include "rollouts/versionfilter.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::rollouts {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Servers of a new version may be known before the order that names it. Without an order their version is used after this time, as that of
/// servers that are replaced.
constexpr auto s_announceTime = Milliseconds(2'500);

/// Least number of servers that the canary uses, so that the faults of one are not taken for those of the version.
constexpr auto s_leastCanaryServers = std::size_t{4};

constexpr auto s_hashRange = 18'446'744'073'709'551'616.0; // 2^64

} // namespace

auto VersionFilter::observe(const std::vector<BackendPtr>& servers, Instant now) -> void
{
    for (const auto& server : servers) {
        m_versions.try_emplace(server->entry.version, now);
    }
}

auto VersionFilter::setProgress(const RolloutProgress& progress, Instant now) -> void
{
    if (!m_progress || m_progress->order != progress.order) {
        m_orderedAt = now;
    }
    m_progress = progress;
}

auto VersionFilter::isNewVersion(const backends::Backend& server) const -> bool
{
    return server.entry.version == m_progress->version;
}

auto VersionFilter::isUnannounced(const std::string& version, Instant now) const -> bool
{
    const auto found = m_versions.find(version);
    const auto isFirst =
        std::ranges::all_of(m_versions, [&](const auto& other) { return found == m_versions.end() || other.second >= found->second; });
    return found == m_versions.end() || (!isFirst && now < found->second + s_announceTime);
}

auto VersionFilter::newServers(std::vector<BackendPtr> servers) const -> std::vector<BackendPtr>
{
    std::erase_if(servers, [this](const BackendPtr& server) { return !isNewVersion(*server); });
    if (m_progress->stage != RolloutStage::Canary) {
        return servers;
    }
    // The share of the programs goes to the same share of the servers, so that these have the load that they will have.
    const auto share = std::ceil(static_cast<double>(servers.size()) * shareOf(RolloutStage::Canary));
    const auto count = std::min(servers.size(), std::max(s_leastCanaryServers, static_cast<std::size_t>(share)));
    std::ranges::sort(servers, {}, [](const BackendPtr& server) { return framework::hash64(server->entry.id); });
    servers.resize(count);
    return servers;
}

auto VersionFilter::allowed(const std::vector<BackendPtr>& servers, std::string_view chain, bool isRetry, Instant now) const
    -> std::vector<BackendPtr>
{
    auto others = servers;
    if (!m_progress) {
        std::erase_if(others, [&](const BackendPtr& server) { return isUnannounced(server->entry.version, now); });
        return others;
    }
    const auto stage = m_progress->stage;
    if (stage == RolloutStage::Done) {
        // Servers of the versions that were known at the order stop; versions that came later replace it without an order.
        std::erase_if(others, [this](const BackendPtr& server) {
            const auto version = m_versions.find(server->entry.version);
            return !isNewVersion(*server) && version != m_versions.end() && version->second <= m_orderedAt;
        });
        return others.empty() ? servers : others;
    }
    std::erase_if(others, [this](const BackendPtr& server) { return isNewVersion(*server); });
    const auto position = static_cast<double>(framework::hash64(chain, m_progress->order)) / s_hashRange;
    if (position >= shareOf(stage) || (isRetry && stage != RolloutStage::Full)) {
        return others;
    }
    auto ofNewVersion = newServers(servers);
    return ofNewVersion.empty() ? others : ofNewVersion;
}

} // namespace laburnummill::rollouts
