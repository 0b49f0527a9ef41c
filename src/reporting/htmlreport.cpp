#include "reporting/htmlreport.h"

#include "reporting/internal/svgplots.h"

#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace laburnummill::reporting {

using framework::Json;

namespace {

constexpr auto s_style = R"(
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #1d2733; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .4rem; }
p.definition { color: #556270; margin: .1rem 0 .6rem; font-size: .88rem; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: right; padding: .25rem .6rem; border-bottom: 1px solid #dde3ea; }
th:first-child, td:first-child { text-align: left; } .missing { background: #fff4e0; border-left: 4px solid #d98a00; padding: .5rem .8rem; }
svg { max-width: 100%; height: auto; }
)";

auto timeText(std::int64_t milliseconds) -> std::string
{
    const auto seconds = static_cast<std::time_t>(milliseconds / 1'000);
    auto parts = std::tm();
    gmtime_r(&seconds, &parts);
    auto out = std::ostringstream();
    out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
    return out.str();
}

auto number(const Json& object, const char* key) -> std::string
{
    if (!object.contains(key) || !object[key].is_number()) {
        return "&ndash;";
    }
    auto out = std::ostringstream();
    const auto value = object[key].get<double>();
    out << std::fixed << std::setprecision(object[key].is_number_integer() || value >= 100 ? 0 : 1) << value;
    return out.str();
}

/// A share in hundred, cut off rather than rounded up, so that 99.99 never reads as 100.
auto percentText(std::uint64_t part, std::uint64_t whole) -> std::string
{
    if (whole == 0) {
        return "&ndash;";
    }
    auto out = std::ostringstream();
    const auto percent = std::floor(static_cast<double>(part) * 10'000.0 / static_cast<double>(whole)) / 100.0;
    out << std::fixed << std::setprecision(2) << percent << " %";
    return out.str();
}

auto section(std::ostream& out, const Json& report, const std::string& title, const char* definition) -> void
{
    out << "<h2>" << escapeXml(title) << "</h2><p class=\"definition\">"
        << escapeXml(framework::stringAt(report["definitions"], definition)) << "</p>\n";
}

auto writeMissing(std::ostream& out, const Json& report) -> void
{
    const auto& missing = report["missing"];
    out << "<div class=\"missing\"><b>What is missing.</b> ";
    const auto& gaps = missing["hosts_with_gaps"];
    if (gaps.empty()) {
        out << "Every host that told anything told every whole minute of the window. ";
    }
    for (const auto& gap : gaps) {
        out << escapeXml(framework::stringAt(gap, "host")) << " told " << number(gap, "windows") << " of "
            << number(gap, "windows_expected") << " minutes. ";
    }
    out << "Minutes that hosts report as lost: " << number(missing, "windows_lost_by_hosts")
        << ". A host that never told anything is not known here. Percentiles are at most " << std::fixed << std::setprecision(1)
        << missing["percentile_relative_error"].get<double>() * 100 << " % too high.</div>\n";
}

auto writeLatencyTable(std::ostream& out, const Json& accounts, const char* kind) -> void
{
    out << "<table><tr><th>Client account</th><th>count</th><th>median ms</th><th>95th ms</th><th>99th ms</th><th>slowest ms</th></tr>\n";
    for (const auto& account : accounts) {
        const auto& latency = account[kind];
        out << "<tr><td>" << escapeXml(framework::stringAt(account, "account")) << "</td><td>" << number(latency, "count") << "</td><td>"
            << number(latency, "p50_ms") << "</td><td>" << number(latency, "p95_ms") << "</td><td>" << number(latency, "p99_ms")
            << "</td><td>" << number(latency, "max_ms") << "</td></tr>\n";
    }
    out << "</table>\n";
}

auto writeEnds(std::ostream& out, const Json& accounts) -> void
{
    constexpr auto ends = std::to_array<const char*>({"run_once", "repeated", "unknown", "refused", "failed"});
    out << "<table><tr><th>Client account</th><th>calls</th><th>run once</th><th>repeated</th><th>unknown</th><th>refused</th>"
           "<th>failed</th><th>answered</th></tr>\n";
    for (const auto& account : accounts) {
        const auto& counts = account["ends"];
        out << "<tr><td>" << escapeXml(framework::stringAt(account, "account")) << "</td><td>" << number(account, "calls") << "</td>";
        for (const auto* end : ends) {
            out << "<td>" << framework::integerAt(counts, end) << "</td>";
        }
        const auto answered = framework::integerAt(counts, "run_once") + framework::integerAt(counts, "repeated");
        out << "<td>" << percentText(static_cast<std::uint64_t>(answered), account["calls"].get<std::uint64_t>()) << "</td></tr>\n";
    }
    out << "</table>\n";
}

auto writeRefusals(std::ostream& out, const Json& accounts) -> void
{
    out << "<table><tr><th>Client account</th><th>reason</th><th>count</th></tr>\n";
    for (const auto& account : accounts) {
        for (const auto& [code, count] : account["refusals"].items()) {
            out << "<tr><td>" << escapeXml(framework::stringAt(account, "account")) << "</td><td>" << escapeXml(code) << "</td><td>"
                << count.get<std::uint64_t>() << "</td></tr>\n";
        }
    }
    out << "</table>\n";
}

auto writeFairness(std::ostream& out, const Json& report) -> void
{
    section(out, report, "Worst-served client account", "worst_served");
    const auto& worst = report["worst_served"];
    if (worst.is_null()) {
        out << "<p>No account has enough calls to tell.</p>\n";
    } else {
        out << "<p><b>" << escapeXml(framework::stringAt(worst, "account")) << "</b>: 95th percentile " << number(worst, "call_p95_ms")
            << " ms over " << number(worst, "count") << " calls.</p>\n";
    }
    out << barPlot(report["accounts"], "call_latency", "p95_ms", "95th percentile of calls, ms");
    section(out, report, "Refused within rate", "refused_within_rate");
    out << barPlot(report["accounts"], nullptr, "refused_within_rate", "calls refused within rate");
    writeRefusals(out, report["accounts"]);
}

auto writeRest(std::ostream& out, const Json& report) -> void
{
    section(out, report, "Cache that was not used", "uncached_share");
    out << barPlot(report["accounts"], nullptr, "uncached_share", "share of later prompts not in the cache");
    section(out, report, "Stopped by their budget", "budget_stops");
    out << "<p>" << number(report["total"], "budget_stops") << " calls.</p>\n<h2>Data centres out and back</h2>\n";
    const auto changes = report.value("data_centres_out_and_back", Json::array());
    if (changes.empty()) {
        out << "<p>None was taken out or brought back in the window, as far as the kept versions of the configuration tell.</p>\n";
    }
    for (const auto& change : changes) {
        out << "<p>" << timeText(change["at_ms"].get<std::int64_t>()) << ": " << escapeXml(framework::stringAt(change, "data_centre"))
            << (framework::boolAt(change, "drained") ? " taken out" : " brought back") << ".</p>\n";
    }
}

} // namespace

auto htmlReport(const Json& report) -> std::string
{
    auto out = std::ostringstream();
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>laburnummill report</title><style>" << s_style
        << "</style></head><body>\n<h1>Service report</h1>\n<p class=\"definition\">" << timeText(report["from_ms"].get<std::int64_t>())
        << " to " << timeText(report["to_ms"].get<std::int64_t>());
    if (const auto team = framework::stringAt(report, "team"); !team.empty()) {
        out << ", team " << escapeXml(team);
    }
    out << ". The same figures stand in the JSON of this report.</p>\n";
    writeMissing(out, report);
    section(out, report, "Program latency", "program_latency");
    out << distributionPlot(report["accounts"], "program_latency", "programs");
    writeLatencyTable(out, report["accounts"], "program_latency");
    section(out, report, "Call latency", "call_latency");
    out << distributionPlot(report["accounts"], "call_latency", "calls");
    writeLatencyTable(out, report["accounts"], "call_latency");
    section(out, report, "How calls ended", "ends");
    writeEnds(out, report["accounts"]);
    writeFairness(out, report);
    writeRest(out, report);
    out << "</body></html>\n";
    return out.str();
}

} // namespace laburnummill::reporting
