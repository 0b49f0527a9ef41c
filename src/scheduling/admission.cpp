#include "scheduling/admission.h"

#include "scheduling/backendchoice.h"

#include <algorithm>

namespace laburnummill::scheduling {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// All new programs are admitted below the first load and rejected above the second one. Running programs use engines half of
/// their time: if all slots are in use, more requests are queued than can be served. Between the two loads an increasing
/// fraction of new programs is rejected, so that the hosts do not all switch between admitting and rejecting at the same time.
constexpr auto s_acceptAllLoad = 0.75;
constexpr auto s_rejectAllLoad = 1.0;

/// Added to both loads for programs of the highest priority, so that they are rejected only at a higher load. One long program
/// is worth more than several short ones.
constexpr auto s_highPriorityAllowance = 0.15;

/// A rejected caller tries again within this time or not at all.
constexpr auto s_retryWindow = Milliseconds(10'000);
constexpr auto s_maxTrackedPrograms = std::size_t{1'000};

/// Fraction of new programs that is rejected; 0 or less if none is.
auto rejectedShare(const std::vector<BackendPtr>& servers, int priority, Instant now) -> double
{
    const auto allowance = priority == 0 ? s_highPriorityAllowance : 0;
    return (loadOf(servers, now) - s_acceptAllLoad - allowance) / (s_rejectAllLoad - s_acceptAllLoad);
}

} // namespace

Admission::Admission(std::uint64_t seed)
    : m_random(static_cast<std::minstd_rand::result_type>(seed))
{}

auto Admission::mayBegin(const std::vector<BackendPtr>& servers, int priority, Instant now) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) >= rejectedShare(servers, priority, now);
}

auto Admission::isSelective(const std::vector<BackendPtr>& servers, int priority, Instant now) -> bool
{
    return rejectedShare(servers, priority, now) > 0;
}

auto Admission::isFirstRequest(const std::string& program, Instant now) -> bool
{
    if (m_lastRequestAt.size() > s_maxTrackedPrograms) {
        std::erase_if(m_lastRequestAt, [now](const auto& entry) { return entry.second + s_retryWindow < now; });
    }
    const auto [entry, isNew] = m_lastRequestAt.try_emplace(program, now);
    const auto isFirst = isNew || entry->second + s_retryWindow < now;
    entry->second = now;
    return isFirst;
}

auto loadOf(const std::vector<BackendPtr>& servers, Instant now) -> double
{
    auto slots = 0.0;
    auto used = 0.0;
    for (const auto& server : servers) {
        if (!server->health.isAvoided(now)) {
            slots += usableSlots(*server, now);
            used += server->running + server->runningRemotely;
        }
    }
    return slots > 0 ? used / slots : 0;
}

} // namespace laburnummill::scheduling
