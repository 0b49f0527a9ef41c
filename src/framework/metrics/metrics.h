#pragma once

#include "framework/global/json.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace laburnummill::framework {

/// Label names and values of one time series, e.g. {"code", "key_unknown"}.
using Labels = std::map<std::string, std::string>;

/// Distribution of durations in milliseconds: logarithmic bins that hosts can add up.
class LatencyHistogram
{
public:
    LatencyHistogram();

    auto record(double milliseconds) -> void;

    /// Adds the counts of another host or window.
    auto merge(const LatencyHistogram& other) -> void;

    /// The duration below which a share `quantile` (0 to 1) lies; the upper edge of its bin.
    auto quantile(double quantile) const -> double;

    auto count() const -> std::uint64_t;
    auto sum() const -> double { return boost::accumulators::sum(m_moments) + m_mergedSum; }
    auto max() const -> double;

    /// The upper edge of a bin of toJson(), in milliseconds.
    static auto upperEdge(int bin) -> double;

    /// Largest relative error of a quantile that the bins' width allows.
    static auto relativeError() -> double;

    auto toJson() const -> Json;
    static auto fromJson(const Json& document) -> LatencyHistogram;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<double>>;
    using Moments = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max>>;

    Bins m_bins;
    Moments m_moments;
    std::uint64_t m_mergedCount = 0;
    double m_mergedSum = 0;
    double m_mergedMax = 0;
};

/// The daemon's counters, gauges and latency distributions. Used from the daemon's executor only.
class Metrics
{
public:
    static constexpr std::string_view s_serviceName = "framework.metrics";

    auto count(std::string_view name, const Labels& labels = {}, std::uint64_t amount = 1) -> void;
    auto setGauge(std::string_view name, double value, const Labels& labels = {}) -> void;
    auto record(std::string_view name, double milliseconds, const Labels& labels = {}) -> void;

    /// The counter's value; 0 where it was never counted.
    auto counter(std::string_view name, const Labels& labels = {}) const -> std::uint64_t;

    /// All series in the usual text exposition format.
    auto exposition() const -> std::string;

    auto toJson() const -> Json;

private:
    using SeriesKey = std::pair<std::string, Labels>;

    std::map<SeriesKey, std::uint64_t> m_counters;
    std::map<SeriesKey, double> m_gauges;
    std::map<SeriesKey, LatencyHistogram> m_latencies;
};

} // namespace laburnummill::framework
