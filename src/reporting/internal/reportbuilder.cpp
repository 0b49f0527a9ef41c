#include "reporting/internal/reportbuilder.h"

#include "reporting/internal/figurekeeper.h"

#include <algorithm>
#include <array>

namespace laburnummill::reporting {

using framework::Json;
using framework::LatencyHistogram;
using framework::WallTime;

namespace {

constexpr auto s_scanLimit = std::size_t{1'000};
constexpr auto s_minCallsToCompare = std::uint64_t{20};

/// Refusals that an account brings upon itself: above its rate, or with a request or key that cannot be accepted.
constexpr auto s_ownRefusals = std::to_array<std::string_view>({
    "rate_exceeded",          "key_missing",     "key_malformed", "key_unknown",  "key_withdrawn",
    "body_not_json",          "field_missing",   "field_invalid", "path_unknown", "method_not_allowed",
    "route_unknown",          "program_unknown", "program_ended", "turn_passed",  "idempotency_key_missing",
    "idempotency_key_reused", "budget_turns",    "budget_tokens", "budget_time",  "body_too_large",
    "call_cancelled",
});

auto isWithinRate(const std::string& code) -> bool
{
    return std::ranges::find(s_ownRefusals, code) == s_ownRefusals.end();
}

auto latencyJson(const LatencyHistogram& latency) -> Json
{
    auto document = Json{{"count", latency.count()}};
    if (latency.count() > 0) {
        document["p50_ms"] = latency.quantile(0.5);
        document["p95_ms"] = latency.quantile(0.95);
        document["p99_ms"] = latency.quantile(0.99);
        document["max_ms"] = latency.max();
    }
    document["histogram"] = latency.toJson()["bins"];
    return document;
}

auto sumOf(const std::map<std::string, std::uint64_t>& counts) -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto& [name, count] : counts) {
        sum += count;
    }
    return sum;
}

auto refusedWithinRate(const AccountFigures& figures) -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto& [code, count] : figures.refusals) {
        sum += isWithinRate(code) ? count : 0;
    }
    return sum;
}

auto budgetStops(const AccountFigures& figures) -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto& [code, count] : figures.refusals) {
        sum += code.starts_with("budget_") ? count : 0;
    }
    return sum;
}

auto accountJson(const std::string& name, const AccountFigures& figures) -> Json
{
    auto document = Json{{"account", name},
                         {"calls", sumOf(figures.ends)},
                         {"ends", figures.ends},
                         {"refusals", figures.refusals},
                         {"refused_within_rate", refusedWithinRate(figures)},
                         {"budget_stops", budgetStops(figures)},
                         {"program_latency", latencyJson(figures.programLatency)},
                         {"call_latency", latencyJson(figures.callLatency)}};
    if (figures.laterPromptTokens > 0) {
        document["uncached_share"] = 1.0 - static_cast<double>(figures.laterCachedTokens) / static_cast<double>(figures.laterPromptTokens);
    }
    return document;
}

/// The account with the slowest 95th percentile of calls among those with enough calls to tell.
auto worstServed(const std::map<std::string, AccountFigures>& accounts) -> Json
{
    auto worst = Json(nullptr);
    auto slowest = -1.0;
    for (const auto& [name, figures] : accounts) {
        if (figures.callLatency.count() < s_minCallsToCompare) {
            continue;
        }
        if (const auto p95 = figures.callLatency.quantile(0.95); p95 > slowest) {
            slowest = p95;
            worst = {{"account", name}, {"call_p95_ms", p95}, {"count", figures.callLatency.count()}};
        }
    }
    return worst;
}

auto definitions() -> Json
{
    auto text = Json::object();
    text["program_latency"] = "time from a program's start to its caller's ending it, tool pauses included, by the clocks of two hosts; "
                              "programs that were ended within the window, not those that expired";
    text["call_latency"] = "time from a call's arrival at a host to its answer's last byte; calls that ran or may have";
    text["refused_within_rate"] = "calls refused for a reason other than the account's own doing (above its rate, bad key, bad request, "
                                  "budget); while data centres are cut off from each other some refusals above the local share count as "
                                  "above the rate although the whole fleet's rate was not used up";
    text["ends"] = "run_once: ran and answered; repeated: got the answer of an earlier run; unknown: may have run, an operator has to find "
                   "out; refused: surely did not run; failed: ran, or may have, and failed";
    text["worst_served"] = "the account with the slowest 95th percentile of calls, among accounts with at least 20 calls";
    text["uncached_share"] = "share of prompt tokens on turns after a program's first that the engine's cache did not hold; the turn's own "
                             "new tokens are among them";
    text["budget_stops"] = "calls refused because their program had used up its turns, tokens or time";
    text["percentiles"] = "upper edges of logarithmic bins: never lower than the true value within the bin's width";
    return text;
}

auto missingJson(const ReportInput& input) -> Json
{
    auto partial = Json::array();
    for (const auto& [host, windows] : input.windowsByHost) {
        if (windows < input.windowsExpected) {
            partial.push_back({{"host", host}, {"windows", windows}, {"windows_expected", input.windowsExpected}});
        }
    }
    return {{"hosts_with_gaps", partial},
            {"windows_lost_by_hosts", input.windowsDropped},
            {"percentile_relative_error", LatencyHistogram::relativeError()}};
}

auto hostOfKey(const std::string& key) -> std::string
{
    return key.substr(std::min(key.find('/') + 1, key.size()));
}

auto addRow(ReportInput& input, const platform::Row& row) -> void
{
    const auto document = framework::parseJson(row.value).value_or(Json::object());
    const auto host = framework::stringAt(document, "host", hostOfKey(row.key.key));
    ++input.windowsByHost[host];
    input.hostsByDataCentre[framework::stringAt(document, "dataCentre")].insert(host);
    input.windowsDropped += static_cast<std::uint64_t>(framework::integerAt(document, "dropped"));
    input.sum.merge(FigureWindow::fromJson(document.value("accounts", Json::object())));
}

} // namespace

auto reportDocument(const ReportInput& input, const configuration::Configuration& configuration, WallTime from, WallTime to,
                    const std::string& team) -> Json
{
    auto shown = std::map<std::string, AccountFigures>();
    auto total = AccountFigures();
    for (const auto& [name, figures] : input.sum.accounts()) {
        const auto* account = configuration.clientAccount(name);
        if (team.empty() || (account != nullptr && account->team == team)) {
            shown[name] = figures;
            total.merge(figures);
        }
    }
    auto accounts = Json::array();
    for (const auto& [name, figures] : shown) {
        accounts.push_back(accountJson(name.empty() ? "(open routes)" : name, figures));
    }
    auto hosts = Json::object();
    for (const auto& [dataCentre, names] : input.hostsByDataCentre) {
        hosts[dataCentre] = names.size();
    }
    auto document = Json{{"from_ms", framework::unixMilliseconds(from)}, {"to_ms", framework::unixMilliseconds(to)}, {"team", team}};
    document["definitions"] = definitions();
    document["missing"] = missingJson(input);
    document["hosts_by_data_centre"] = std::move(hosts);
    document["accounts"] = std::move(accounts);
    document["total"] = accountJson("all", total);
    document["worst_served"] = worstServed(shown);
    return document;
}

ReportBuilder::ReportBuilder(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<configuration::IConfiguration> configuration,
                             std::shared_ptr<configuration::IConfigurationHistory> history)
    : m_tables(std::move(tables))
    , m_configuration(std::move(configuration))
    , m_history(std::move(history))
{}

auto ReportBuilder::read(WallTime from, WallTime to) -> framework::AsyncResult<ReportInput>
{
    auto input = ReportInput();
    input.windowsExpected = static_cast<std::uint64_t>((to - from) / s_windowLength);
    const auto end = figureKey(to, {});
    auto after = figureKey(from, {});
    while (true) {
        BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_tables->scan({s_figuresTable, {}, after, s_scanLimit}));
        for (const auto& row : rows) {
            if (row.key.key >= end) {
                co_return input;
            }
            addRow(input, row);
            after = row.key.key;
        }
        if (rows.size() < s_scanLimit) {
            co_return input;
        }
    }
}

auto ReportBuilder::drainChanges(WallTime from, WallTime to) -> framework::Async<Json>
{
    auto changes = Json::array();
    const auto records = co_await m_history->records();
    if (!records) {
        co_return changes;
    }
    auto before = std::map<std::string, bool>();
    for (const auto& record : records.value()) {
        for (const auto& dataCentre : record.document.value("dataCentres", Json::array())) {
            const auto name = framework::stringAt(dataCentre, "name");
            const auto isDrained = framework::boolAt(dataCentre, "drained");
            const auto isChange = before.contains(name) && before[name] != isDrained;
            before[name] = isDrained;
            if (isChange && record.acceptedAt >= framework::unixMilliseconds(from) && record.acceptedAt < framework::unixMilliseconds(to)) {
                changes.push_back({{"data_centre", name}, {"drained", isDrained}, {"at_ms", record.acceptedAt}});
            }
        }
    }
    co_return changes;
}

auto ReportBuilder::build(WallTime from, WallTime to, std::string team) -> framework::AsyncResult<Json>
{
    const auto current = m_configuration->current();
    if (!current) {
        co_return framework::failure(configuration::ConfigurationError::NoneKnown);
    }
    const auto input = co_await read(from, to);
    if (!input) {
        co_return framework::failure(input.error());
    }
    auto document = reportDocument(input.value(), *current, from, to, team);
    document["data_centres_out_and_back"] = co_await drainChanges(from, to);
    co_return document;
}

} // namespace laburnummill::reporting
