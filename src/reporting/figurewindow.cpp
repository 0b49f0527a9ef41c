#include "reporting/figurewindow.h"

#include "framework/global/nametable.h"

namespace laburnummill::reporting {

using framework::Json;

namespace {

constexpr auto s_callEndNames = framework::NameTable<CallEnd, 5>{{
    {CallEnd::RunOnce, "run_once"},
    {CallEnd::Repeated, "repeated"},
    {CallEnd::Unknown, "unknown"},
    {CallEnd::Refused, "refused"},
    {CallEnd::Failed, "failed"},
}};

auto addCounts(std::map<std::string, std::uint64_t>& sum, const std::map<std::string, std::uint64_t>& counts) -> void
{
    for (const auto& [name, count] : counts) {
        sum[name] += count;
    }
}

} // namespace

auto callEndName(CallEnd end) -> std::string_view
{
    return framework::nameOf(s_callEndNames, end);
}

auto AccountFigures::merge(const AccountFigures& other) -> void
{
    callLatency.merge(other.callLatency);
    programLatency.merge(other.programLatency);
    addCounts(ends, other.ends);
    addCounts(refusals, other.refusals);
    laterPromptTokens += other.laterPromptTokens;
    laterCachedTokens += other.laterCachedTokens;
}

auto FigureWindow::note(const CallFigure& figure) -> void
{
    auto& account = m_accounts[figure.account];
    ++account.ends[std::string(callEndName(figure.end))];
    if (figure.end == CallEnd::Refused) {
        ++account.refusals[figure.code];
        return;
    }
    account.callLatency.record(figure.milliseconds);
    if (figure.isLaterTurn) {
        account.laterPromptTokens += figure.promptTokens;
        account.laterCachedTokens += figure.cachedTokens;
    }
}

auto FigureWindow::note(const ProgramFigure& figure) -> void
{
    m_accounts[figure.account].programLatency.record(figure.milliseconds);
}

auto FigureWindow::merge(const FigureWindow& other) -> void
{
    for (const auto& [name, figures] : other.m_accounts) {
        m_accounts[name].merge(figures);
    }
}

auto FigureWindow::toJson() const -> Json
{
    auto document = Json::object();
    for (const auto& [name, figures] : m_accounts) {
        document[name] = {{"callLatency", figures.callLatency.toJson()},
                          {"programLatency", figures.programLatency.toJson()},
                          {"ends", figures.ends},
                          {"refusals", figures.refusals},
                          {"laterPromptTokens", figures.laterPromptTokens},
                          {"laterCachedTokens", figures.laterCachedTokens}};
    }
    return document;
}

auto FigureWindow::fromJson(const Json& document) -> FigureWindow
{
    using Counts = std::map<std::string, std::uint64_t>;
    auto window = FigureWindow();
    for (const auto& [name, entry] : document.items()) {
        auto& figures = window.m_accounts[name];
        figures.callLatency = framework::LatencyHistogram::fromJson(entry.value("callLatency", Json::object()));
        figures.programLatency = framework::LatencyHistogram::fromJson(entry.value("programLatency", Json::object()));
        figures.ends = entry.value("ends", Counts());
        figures.refusals = entry.value("refusals", Counts());
        figures.laterPromptTokens = entry.value("laterPromptTokens", std::uint64_t{0});
        figures.laterCachedTokens = entry.value("laterCachedTokens", std::uint64_t{0});
    }
    return window;
}

} // namespace laburnummill::reporting
