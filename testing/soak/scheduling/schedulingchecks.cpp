#include "testing/soak/scheduling/schedulingworld.h"

#include <algorithm>

// What the world must keep to.

namespace laburnummill::testing {

using framework::Milliseconds;
using framework::Seconds;

namespace {

constexpr auto s_window = Seconds(30);
constexpr auto s_overdueAfter = Seconds(8);
constexpr auto s_stepsAfterInside = std::uint64_t{5'000};
constexpr auto s_windowAsked = std::uint64_t{20};
constexpr auto s_windowGranted = std::uint64_t{300};

} // namespace

auto SchedulingWorld::windowLoop() -> void
{
    auto total = std::uint64_t{0};
    for (const auto& [account, share] : m_shares) {
        total += share.granted;
    }
    for (const auto& [account, share] : m_shares) {
        if (total >= s_windowGranted && share.asked >= s_windowAsked && share.granted == 0) {
            note("starved " + account);
            ++m_verdict.starved;
        }
    }
    m_shares.clear();
    after(s_window, [this] { windowLoop(); });
}

auto SchedulingWorld::checkOverdue() -> void
{
    for (const auto& executor : m_executors) {
        for (const auto& [number, request] : executor.requests) {
            if (request.state == State::Waiting && m_now > request.call.deadline + s_overdueAfter) {
                note("overdue " + keyText(request.call.key));
                ++m_verdict.outcomes;
            }
        }
    }
}

auto SchedulingWorld::verdict() const -> SchedulingVerdict
{
    auto verdict = m_verdict;
    for (const auto& backend : m_backends) {
        verdict.beyondBound += backend.beyondBound();
        verdict.whileLeaving += backend.whileLeaving();
    }
    if (m_dispatcher) {
        verdict.inside += m_dispatcher->counts().grantsBeyondBound + m_dispatcher->counts().grantsToDrained;
    }
    return verdict;
}

auto SchedulingWorld::checkEnd() -> void
{
    m_verdict.leaks += m_dispatcher ? m_dispatcher->openPermits() + m_dispatcher->waiting() : 1;
    for (auto index = std::size_t{0}; m_dispatcher && index < s_backends; ++index) {
        m_verdict.leaks += m_dispatcher->engines().at(static_cast<scheduling::EngineIndex>(index)).orphans;
    }
    for (const auto& executor : m_executors) {
        m_verdict.outcomes += executor.requests.size();
    }
}

auto SchedulingWorld::shouldStop() -> bool
{
    auto outside = verdict();
    if (outside.inside > 0 && m_insideSince == 0) {
        m_insideSince = m_step;
    }
    // NOTE What the dispatcher sees of itself is let run on a little, so that the back ends see it too.
    outside.inside = 0;
    return !outside.holds() || (m_insideSince > 0 && m_step > m_insideSince + s_stepsAfterInside);
}

} // namespace laburnummill::testing
