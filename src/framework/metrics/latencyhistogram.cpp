#include "framework/metrics/metrics.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::framework {

namespace {

constexpr auto s_binCount = 240U;
constexpr auto s_lowestMs = 0.01;
constexpr auto s_highestMs = 1.0e7;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_tuple(LogAxis(s_binCount, s_lowestMs, s_highestMs)))
{}

auto LatencyHistogram::record(double milliseconds) -> void
{
    m_bins(milliseconds);
    m_moments(milliseconds);
}

auto LatencyHistogram::merge(const LatencyHistogram& other) -> void
{
    m_bins += other.m_bins;
    m_mergedCount += other.count();
    m_mergedSum += other.sum();
    m_mergedMax = std::max(m_mergedMax, other.max());
}

auto LatencyHistogram::count() const -> std::uint64_t
{
    return boost::accumulators::count(m_moments) + m_mergedCount;
}

auto LatencyHistogram::max() const -> double
{
    const auto own = boost::accumulators::count(m_moments) == 0 ? 0.0 : boost::accumulators::max(m_moments);
    return std::max(own, m_mergedMax);
}

auto LatencyHistogram::quantile(double quantile) const -> double
{
    const auto wanted = quantile * static_cast<double>(count());
    const auto& axis = m_bins.axis(0);
    auto seen = static_cast<double>(m_bins.at(-1));
    if (seen >= wanted && seen > 0) {
        return s_lowestMs;
    }
    for (auto bin = 0; bin < axis.size(); ++bin) {
        seen += static_cast<double>(m_bins.at(bin));
        if (seen >= wanted && seen > 0) {
            return std::min(axis.bin(bin).upper(), max());
        }
    }
    return max();
}

auto LatencyHistogram::upperEdge(int bin) -> double
{
    return s_lowestMs * std::pow(s_highestMs / s_lowestMs, static_cast<double>(bin + 1) / s_binCount);
}

auto LatencyHistogram::relativeError() -> double
{
    return std::pow(s_highestMs / s_lowestMs, 1.0 / s_binCount) - 1.0;
}

auto LatencyHistogram::toJson() const -> Json
{
    auto bins = Json::object();
    for (auto bin = -1; bin <= m_bins.axis(0).size(); ++bin) {
        const auto held = static_cast<std::uint64_t>(m_bins.at(bin));
        if (held > 0) {
            bins[std::to_string(bin)] = held;
        }
    }
    return {{"count", count()}, {"sum_ms", sum()}, {"max_ms", max()}, {"bins", std::move(bins)}};
}

auto LatencyHistogram::fromJson(const Json& document) -> LatencyHistogram
{
    auto histogram = LatencyHistogram();
    histogram.m_mergedCount = document.value("count", std::uint64_t{0});
    histogram.m_mergedSum = document.value("sum_ms", 0.0);
    histogram.m_mergedMax = document.value("max_ms", 0.0);
    const auto size = histogram.m_bins.axis(0).size();
    const auto bins = document.value("bins", Json::object());
    for (const auto& [name, held] : bins.items()) {
        const auto bin = std::atoi(name.c_str());
        if (bin >= -1 && bin <= size && held.is_number_unsigned()) {
            histogram.m_bins.at(bin) = held.get<double>();
        }
    }
    return histogram;
}

} // namespace laburnummill::framework
