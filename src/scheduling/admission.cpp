#include "scheduling/admission.h"

#include <algorithm>

namespace laburnummill::scheduling {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Programs under way use engines half of their time: where the places are full, more are waiting than can be served.
/// Between the two loads a growing part of those that begin is turned away, so that hosts do not swing together.
constexpr auto s_freeLoad = 0.75;
constexpr auto s_fullLoad = 1.0;

/// Long programs are worth more than several short ones, and are turned away later.
constexpr auto s_urgentBonus = 0.15;

/// A caller that is turned away comes back within this, or not at all.
constexpr auto s_visitMemory = Milliseconds(10'000);
constexpr auto s_visitsKept = std::size_t{1'000};

} // namespace

Admission::Admission(std::uint64_t seed)
    : m_random(static_cast<std::minstd_rand::result_type>(seed))
{}

auto Admission::mayBegin(const std::vector<BackendPtr>& servers, int priority, Instant now) -> bool
{
    const auto bonus = priority == 0 ? s_urgentBonus : 0;
    const auto load = loadOf(servers, now);
    const auto refusedShare = (load - s_freeLoad - bonus) / (s_fullLoad - s_freeLoad);
    return std::uniform_real_distribution<double>(0, 1)(m_random) >= refusedShare;
}

auto Admission::isFirstVisit(const std::string& program, Instant now) -> bool
{
    if (m_visits.size() > s_visitsKept) {
        std::erase_if(m_visits, [now](const auto& visit) { return visit.second + s_visitMemory < now; });
    }
    const auto [visit, isNew] = m_visits.try_emplace(program, now);
    const auto isFirst = isNew || visit->second + s_visitMemory < now;
    visit->second = now;
    return isFirst;
}

auto loadOf(const std::vector<BackendPtr>& servers, Instant now) -> double
{
    auto places = 0.0;
    auto taken = 0.0;
    for (const auto& server : servers) {
        if (!server->health.isAvoided(now)) {
            places += std::max(server->entry.slots, 1);
            taken += server->running + server->runningElsewhere;
        }
    }
    return places > 0 ? taken / places : 0;
}

} // namespace laburnummill::scheduling
