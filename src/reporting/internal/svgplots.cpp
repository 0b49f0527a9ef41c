#include "reporting/internal/svgplots.h"

#include "framework/metrics/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <vector>

namespace laburnummill::reporting {

using framework::Json;

namespace {

constexpr auto s_width = 900.0;
constexpr auto s_barHeight = 22.0;
constexpr auto s_labelWidth = 190.0;
constexpr auto s_plotHeight = 280.0;
constexpr auto s_margin = 46.0;
constexpr auto s_legendHeight = 20.0;
constexpr auto s_colours = std::to_array<const char*>(
    {"#1f6feb", "#d1495b", "#2e933c", "#8a5cd1", "#d98a00", "#00798c", "#6b705c", "#b5179e", "#5f0f40", "#003d5b"});

auto colour(std::size_t index) -> const char*
{
    return s_colours[index % s_colours.size()];
}

auto valueText(double value) -> std::string
{
    auto out = std::ostringstream();
    out << std::setprecision(4) << value;
    return out.str();
}

auto text(double x, double y, const std::string& words, const char* anchor = "start") -> std::string
{
    auto out = std::ostringstream();
    out << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"12\" fill=\"#33414f\" text-anchor=\"" << anchor << "\">"
        << escapeXml(words) << "</text>\n";
    return out.str();
}

struct Point
{
    double milliseconds = 0;
    double share = 0;
};

/// Points of an account's cumulative distribution, from its bins.
auto distribution(const Json& latency) -> std::vector<Point>
{
    auto points = std::vector<Point>();
    auto bins = std::vector<std::pair<int, double>>();
    auto total = 0.0;
    const auto histogram = latency.value("histogram", Json::object());
    for (const auto& [name, count] : histogram.items()) {
        bins.emplace_back(std::stoi(name), count.get<double>());
        total += count.get<double>();
    }
    std::ranges::sort(bins);
    auto seen = 0.0;
    for (const auto& [bin, count] : bins) {
        seen += count;
        points.push_back({framework::LatencyHistogram::upperEdge(bin), seen / total});
    }
    return points;
}

struct Axis
{
    double low = 0; ///< decades
    double high = 1;

    auto position(double milliseconds) const -> double
    {
        const auto part = (std::log10(std::max(milliseconds, 0.001)) - low) / (high - low);
        return s_margin + part * (s_width - 2 * s_margin);
    }
};

auto axisOf(const std::vector<std::vector<Point>>& lines) -> Axis
{
    auto low = 6.0;
    auto high = -3.0;
    for (const auto& line : lines) {
        for (const auto& point : line) {
            low = std::min(low, std::floor(std::log10(point.milliseconds)));
            high = std::max(high, std::ceil(std::log10(point.milliseconds)));
        }
    }
    return high <= low ? Axis{low, low + 1} : Axis{low, high};
}

auto drawAxes(std::ostream& out, const Axis& axis) -> void
{
    for (auto decade = axis.low; decade <= axis.high; ++decade) {
        const auto x = axis.position(std::pow(10.0, decade));
        out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"10\" y2=\"" << s_plotHeight << "\" stroke=\"#dde3ea\"/>\n"
            << text(x, s_plotHeight + 16, valueText(std::pow(10.0, decade)) + " ms", "middle");
    }
    for (const auto share : {0.0, 0.5, 0.95, 1.0}) {
        const auto y = s_plotHeight - share * (s_plotHeight - 10);
        out << "<line x1=\"" << s_margin << "\" x2=\"" << s_width - s_margin << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" stroke=\"#dde3ea\"/>\n"
            << text(s_margin - 6, y + 4, valueText(share), "end");
    }
}

auto drawLine(std::ostream& out, const Axis& axis, const std::vector<Point>& line, const char* stroke) -> void
{
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << stroke << "\" points=\"";
    auto share = 0.0;
    for (const auto& point : line) {
        const auto x = axis.position(point.milliseconds);
        const auto height = s_plotHeight - 10;
        out << x << ',' << s_plotHeight - share * height << ' ' << x << ',' << s_plotHeight - point.share * height << ' ';
        share = point.share;
    }
    out << "\"/>\n";
}

} // namespace

auto escapeXml(const std::string& raw) -> std::string
{
    auto escaped = std::string();
    for (const auto letter : raw) {
        switch (letter) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += letter;
        }
    }
    return escaped;
}

auto barPlot(const Json& accounts, const char* group, const char* key, const std::string& caption) -> std::string
{
    auto bars = std::vector<std::pair<std::string, double>>();
    auto largest = 0.0;
    for (const auto& account : accounts) {
        const auto& holder = group == nullptr ? account : account[group];
        if (holder.contains(key) && holder[key].is_number()) {
            bars.emplace_back(framework::stringAt(account, "account"), holder[key].get<double>());
            largest = std::max(largest, bars.back().second);
        }
    }
    if (bars.empty()) {
        return "<p>No figures in the window.</p>\n";
    }
    auto out = std::ostringstream();
    const auto height = static_cast<double>(bars.size()) * s_barHeight + 24;
    out << "<svg viewBox=\"0 0 " << s_width << ' ' << height << "\" role=\"img\" aria-label=\"" << escapeXml(caption) << "\">\n"
        << text(s_labelWidth, 14, caption);
    auto y = 22.0;
    for (const auto& [name, value] : bars) {
        const auto length = largest > 0 ? value / largest * (s_width - s_labelWidth - 90) : 0;
        out << text(s_labelWidth - 8, y + 14, name, "end") << "<rect x=\"" << s_labelWidth << "\" y=\"" << y + 3 << "\" height=\""
            << s_barHeight - 7 << "\" width=\"" << std::max(length, 1.0) << "\" fill=\"#1f6feb\"/>\n"
            << text(s_labelWidth + length + 8, y + 14, valueText(value));
        y += s_barHeight;
    }
    out << "</svg>\n";
    return out.str();
}

auto distributionPlot(const Json& accounts, const char* group, const std::string& what) -> std::string
{
    auto names = std::vector<std::string>();
    auto lines = std::vector<std::vector<Point>>();
    for (const auto& account : accounts) {
        auto line = distribution(account[group]);
        if (!line.empty()) {
            names.push_back(framework::stringAt(account, "account"));
            lines.push_back(std::move(line));
        }
    }
    if (lines.empty()) {
        return "<p>No " + escapeXml(what) + " ended in the window.</p>\n";
    }
    constexpr auto namesPerRow = std::size_t{5};
    const auto rows = (names.size() + namesPerRow - 1) / namesPerRow;
    const auto axis = axisOf(lines);
    auto out = std::ostringstream();
    out << "<svg viewBox=\"0 0 " << s_width << ' ' << s_plotHeight + 30 + static_cast<double>(rows) * s_legendHeight
        << "\" role=\"img\" aria-label=\"share of " << escapeXml(what) << " by time\">\n";
    drawAxes(out, axis);
    for (auto index = std::size_t{0}; index < lines.size(); ++index) {
        drawLine(out, axis, lines[index], colour(index));
        const auto x = s_margin + static_cast<double>(index % namesPerRow) * (s_width - 2 * s_margin) / namesPerRow;
        const auto row = index / namesPerRow;
        const auto y = s_plotHeight + 38 + static_cast<double>(row) * s_legendHeight;
        out << "<rect x=\"" << x << "\" y=\"" << y - 9 << "\" width=\"10\" height=\"10\" fill=\"" << colour(index) << "\"/>\n"
            << text(x + 15, y, names[index]);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace laburnummill::reporting
