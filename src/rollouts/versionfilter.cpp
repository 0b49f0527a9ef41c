#include "rollouts/versionfilter.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnummill::rollouts {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Operators may replace all servers of a version without an order. While any server of the serving version is known, others need an order;
/// its entries may be missing for some seconds when the store returns from an outage.
constexpr auto s_replacedAfter = Milliseconds(30'000);

/// Least number of servers that the canary uses, so that the faults of one are not taken for those of the version.
constexpr auto s_leastCanaryServers = std::size_t{4};

constexpr auto s_hashRange = 18'446'744'073'709'551'616.0; // 2^64

} // namespace

auto VersionFilter::observe(const std::vector<BackendPtr>& servers, Instant now) -> void
{
    for (const auto& server : servers) {
        const auto first = KnownVersion{.startedAt = server->entry.startedAt, .number = m_versions.size(), .seenAt = now};
        auto& known = m_versions.try_emplace(server->entry.version, first).first->second;
        known.startedAt = std::min(known.startedAt, server->entry.startedAt);
        known.seenAt = now;
    }
    chooseServingVersion(now);
}

auto VersionFilter::setProgress(const RolloutProgress& progress, Instant now) -> void
{
    m_progress = progress;
    setServingVersion(progress, now);
}

auto VersionFilter::setServingVersion(const RolloutProgress& progress, Instant now) -> void
{
    const auto stated = progress.stage == RolloutStage::Done ? std::optional(progress.version) : progress.formerVersion;
    if (stated && m_statedVersion != stated) {
        m_statedVersion = stated;
        m_statedAt = now;
    }
    chooseServingVersion(now);
}

auto VersionFilter::chooseServingVersion(Instant now) -> void
{
    const auto isRecent = [&](const std::string& version) {
        const auto found = m_versions.find(version);
        return found != m_versions.end() && now < found->second.seenAt + s_replacedAfter;
    };
    if (m_statedVersion && (now < m_statedAt + s_replacedAfter || isRecent(*m_statedVersion))) {
        m_servingVersion = m_statedVersion;
        return;
    }
    // The servers of the version that served before were started first. All hosts choose the same.
    const auto* oldest = static_cast<const std::pair<const std::string, KnownVersion>*>(nullptr);
    for (const auto& entry : m_versions) {
        const auto isOrdered = m_progress && m_progress->stage != RolloutStage::Done && m_progress->version == entry.first;
        const auto age = std::tie(entry.second.startedAt, entry.second.number);
        if (!isOrdered && isRecent(entry.first) && (oldest == nullptr || age < std::tie(oldest->second.startedAt, oldest->second.number))) {
            oldest = &entry;
        }
    }
    if (oldest != nullptr) {
        m_servingVersion = oldest->first;
    } else if (!m_servingVersion && m_progress && m_progress->stage == RolloutStage::Waiting && isRecent(m_progress->version)) {
        m_servingVersion = m_progress->version; // No server of another version is left.
    }
}

auto VersionFilter::isNewVersion(const backends::Backend& server) const -> bool
{
    return server.entry.version == m_progress->version;
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

auto VersionFilter::allowed(const std::vector<BackendPtr>& servers, std::string_view chain, bool isRetry) const -> std::vector<BackendPtr>
{
    auto serving = servers;
    if (m_servingVersion) {
        std::erase_if(serving, [this](const BackendPtr& server) { return server->entry.version != *m_servingVersion; });
    }
    if (!m_progress || m_servingVersion == m_progress->version) {
        return serving;
    }
    const auto stage = m_progress->stage;
    const auto position = static_cast<double>(framework::hash64(chain, m_progress->order)) / s_hashRange;
    if (stage == RolloutStage::Done || position >= shareOf(stage) || (isRetry && stage != RolloutStage::Full)) {
        return serving;
    }
    auto ofNewVersion = newServers(servers);
    return ofNewVersion.empty() ? serving : ofNewVersion;
}

} // namespace laburnummill::rollouts
