#pragma once

#include "framework/metrics/metrics.h"
#include "reporting/ifigures.h"

#include <map>
#include <string>

namespace laburnummill::reporting {

/// Figures of one client account in one window of time; windows of hosts add up.
struct AccountFigures
{
    framework::LatencyHistogram callLatency;
    framework::LatencyHistogram programLatency;
    std::map<std::string, std::uint64_t> ends;     ///< calls by how they ended
    std::map<std::string, std::uint64_t> refusals; ///< calls that surely did not run, by code
    std::uint64_t laterPromptTokens = 0;           ///< of turns after the first
    std::uint64_t laterCachedTokens = 0;

    auto merge(const AccountFigures& other) -> void;
};

/// Figures of all accounts in one window.
class FigureWindow
{
public:
    auto note(const CallFigure& figure) -> void;
    auto note(const ProgramFigure& figure) -> void;
    auto merge(const FigureWindow& other) -> void;

    auto empty() const -> bool { return m_accounts.empty(); }
    auto accounts() const -> const std::map<std::string, AccountFigures>& { return m_accounts; }

    auto toJson() const -> framework::Json;
    static auto fromJson(const framework::Json& document) -> FigureWindow;

private:
    std::map<std::string, AccountFigures> m_accounts;
};

auto callEndName(CallEnd end) -> std::string_view;

} // namespace laburnummill::reporting
