#include "serving/latencytracker.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

/// With fewer samples the average is not meaningful.
constexpr auto s_minSamples = 20;

/// Averages over about the last 100 samples.
constexpr auto s_minSampleWeight = 0.01;

/// In milliseconds. Shorter durations are mostly those of timers and wake-ups and say nothing about the server.
constexpr auto s_minMeasured = 5.0;

} // namespace

auto LatencyTracker::record(std::string_view kind, double milliseconds) -> double
{
    auto found = m_averages.find(kind);
    if (found == m_averages.end()) {
        found = m_averages.emplace(std::string(kind), Average{}).first;
    }
    auto& average = found->second;
    ++average.samples;
    const auto weight = std::max(1.0 / average.samples, s_minSampleWeight);
    average.milliseconds += weight * (milliseconds - average.milliseconds);
    if (average.samples < s_minSamples || average.milliseconds <= 0) {
        return 0;
    }
    return std::max(milliseconds, s_minMeasured) / std::max(average.milliseconds, s_minMeasured);
}

auto LatencyTracker::average(std::string_view kind) const -> std::optional<double>
{
    const auto found = m_averages.find(kind);
    if (found == m_averages.end() || found->second.samples < s_minSamples) {
        return std::nullopt;
    }
    return found->second.milliseconds;
}

} // namespace laburnummill::serving
