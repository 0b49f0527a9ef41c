#include "testing/measure/overload/batchingserver.h"

#include <algorithm>

namespace laburnummill::testing {

namespace {

/// By how much each running turn slows down the others, as a fraction.
constexpr auto s_slowdownPerTurn = 0.03;

auto slowdown(std::size_t running) -> double
{
    return 1 + s_slowdownPerTurn * (static_cast<double>(running) - 1);
}

} // namespace

auto BatchingServer::add(std::uint64_t turn, double workMs) -> void
{
    m_waiting.push_back({turn, workMs});
}

auto BatchingServer::remove(std::uint64_t turn) -> void
{
    std::erase_if(m_running, [turn](const Turn& other) { return other.number == turn; });
    std::erase_if(m_waiting, [turn](const Turn& other) { return other.number == turn; });
}

auto BatchingServer::advance(framework::Milliseconds step) -> std::vector<std::uint64_t>
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_slots)) {
        m_running.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
    if (m_running.empty()) {
        return {};
    }
    const auto done = static_cast<double>(step.count()) / (m_slowness * slowdown(m_running.size()));
    auto ended = std::vector<std::uint64_t>();
    for (auto& turn : m_running) {
        turn.workMs -= done;
        if (turn.workMs <= 0) {
            ended.push_back(turn.number);
        }
    }
    std::erase_if(m_running, [](const Turn& turn) { return turn.workMs <= 0; });
    return ended;
}

auto BatchingServer::fullRate(int slots) -> double
{
    return slots / slowdown(static_cast<std::size_t>(slots));
}

} // namespace laburnummill::testing
