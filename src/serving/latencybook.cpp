#include "serving/latencybook.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

/// Fewer samples say nothing of what is usual.
constexpr auto s_samplesNeeded = 20;

/// The last hundred or so count.
constexpr auto s_newestWeight = 0.01;

} // namespace

auto LatencyBook::record(std::string_view kind, double milliseconds) -> double
{
    auto found = m_usual.find(kind);
    if (found == m_usual.end()) {
        found = m_usual.emplace(std::string(kind), Usual{}).first;
    }
    auto& usual = found->second;
    ++usual.samples;
    const auto weight = std::max(1.0 / usual.samples, s_newestWeight);
    usual.milliseconds += weight * (milliseconds - usual.milliseconds);
    if (usual.samples < s_samplesNeeded || usual.milliseconds <= 0) {
        return 0;
    }
    return milliseconds / usual.milliseconds;
}

auto LatencyBook::usual(std::string_view kind) const -> std::optional<double>
{
    const auto found = m_usual.find(kind);
    if (found == m_usual.end() || found->second.samples < s_samplesNeeded) {
        return std::nullopt;
    }
    return found->second.milliseconds;
}

} // namespace laburnummill::serving
