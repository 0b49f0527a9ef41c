#include "serving/latencytracker.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

/// Fewer samples say nothing of what is usual.
constexpr auto s_minSamples = 20;

/// The last hundred or so count.
constexpr auto s_minSampleWeight = 0.01;

} // namespace

auto LatencyTracker::record(std::string_view kind, double milliseconds) -> double
{
    auto found = m_averages.find(kind);
    if (found == m_averages.end()) {
        found = m_averages.emplace(std::string(kind), Average{}).first;
    }
    auto& usual = found->second;
    ++usual.samples;
    const auto weight = std::max(1.0 / usual.samples, s_minSampleWeight);
    usual.milliseconds += weight * (milliseconds - usual.milliseconds);
    if (usual.samples < s_minSamples || usual.milliseconds <= 0) {
        return 0;
    }
    return milliseconds / usual.milliseconds;
}

auto LatencyTracker::usual(std::string_view kind) const -> std::optional<double>
{
    const auto found = m_averages.find(kind);
    if (found == m_averages.end() || found->second.samples < s_minSamples) {
        return std::nullopt;
    }
    return found->second.milliseconds;
}

} // namespace laburnummill::serving
