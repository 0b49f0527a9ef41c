#include "framework/metrics/metrics.h"

#include <array>
#include <sstream>

namespace laburnummill::framework {

namespace {

constexpr auto s_prefix = std::string_view("laburnummill_");
constexpr auto s_quantiles = std::array{0.5, 0.95, 0.99};

auto labelText(const Labels& labels) -> std::string
{
    if (labels.empty()) {
        return {};
    }
    auto text = std::string("{");
    for (const auto& [name, value] : labels) {
        text += (text.size() > 1 ? "," : "") + name + "=" + Json(value).dump();
    }
    return text + "}";
}

auto withLabel(Labels labels, std::string name, std::string value) -> Labels
{
    labels[std::move(name)] = std::move(value);
    return labels;
}

auto writeLatency(std::ostream& out, const std::string& name, const Labels& labels, const LatencyHistogram& latency) -> void
{
    for (const auto quantile : s_quantiles) {
        auto label = std::ostringstream();
        label << quantile;
        out << s_prefix << name << labelText(withLabel(labels, "quantile", label.str())) << ' ' << latency.quantile(quantile) << '\n';
    }
    out << s_prefix << name << "_sum" << labelText(labels) << ' ' << latency.sum() << '\n';
    out << s_prefix << name << "_count" << labelText(labels) << ' ' << latency.count() << '\n';
}

} // namespace

auto Metrics::count(std::string_view name, const Labels& labels, std::uint64_t amount) -> void
{
    m_counters[{std::string(name), labels}] += amount;
}

auto Metrics::setGauge(std::string_view name, double value, const Labels& labels) -> void
{
    m_gauges[{std::string(name), labels}] = value;
}

auto Metrics::record(std::string_view name, double milliseconds, const Labels& labels) -> void
{
    m_latencies[{std::string(name), labels}].record(milliseconds);
}

auto Metrics::counter(std::string_view name, const Labels& labels) const -> std::uint64_t
{
    const auto found = m_counters.find({std::string(name), labels});
    return found == m_counters.end() ? 0 : found->second;
}

auto Metrics::exposition() const -> std::string
{
    auto out = std::ostringstream();
    for (const auto& [key, value] : m_counters) {
        out << s_prefix << key.first << labelText(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : m_gauges) {
        out << s_prefix << key.first << labelText(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, latency] : m_latencies) {
        writeLatency(out, key.first, key.second, latency);
    }
    return out.str();
}

auto Metrics::toJson() const -> Json
{
    auto document = Json{{"counters", Json::array()}, {"gauges", Json::array()}, {"latencies", Json::array()}};
    for (const auto& [key, value] : m_counters) {
        document["counters"].push_back({{"name", key.first}, {"labels", key.second}, {"value", value}});
    }
    for (const auto& [key, value] : m_gauges) {
        document["gauges"].push_back({{"name", key.first}, {"labels", key.second}, {"value", value}});
    }
    for (const auto& [key, latency] : m_latencies) {
        document["latencies"].push_back({{"name", key.first}, {"labels", key.second}, {"value", latency.toJson()}});
    }
    return document;
}

} // namespace laburnummill::framework
