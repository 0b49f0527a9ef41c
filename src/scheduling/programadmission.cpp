#include "scheduling/programadmission.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::scheduling {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Stretch of turns at which programs with the tightest objectives still end in time: these are 1.3 times the idle time, the caller's way
/// included, and a few hundred milliseconds more for a program.
constexpr auto s_targetStretch = 1.4;

/// Range of the target load. Above the upper end turns queue at the engines; below the lower end slots are free, so that turns take long
/// for another reason, which refusals do not cure.
constexpr auto s_lowestTarget = 0.7;
constexpr auto s_highestTarget = 0.98;
constexpr auto s_firstTarget = 0.9;

/// Change of the target load a second for each unit by which the stretch misses its target.
constexpr auto s_targetPerSecond = 0.1;

/// Less work than that of some twenty turns says nothing of the stretch.
constexpr auto s_minIdleMs = 4'000.0;

/// Time in which the share follows the load; the programs in progress, which are not refused, end within a few seconds.
constexpr auto s_integralSeconds = 1.5;

/// Immediate change of the share's logarithm for a load of twice the target.
constexpr auto s_proportion = 1.5;

/// The share of the least urgent programs falls at this much less load than that of the most urgent ones.
constexpr auto s_priorityAllowance = 0.1;

/// Share of less urgent programs that are admitted, as a fraction of that of the most urgent ones, so that none starves.
constexpr auto s_leastRelativeShare = 0.3;

/// Share of any kind of program that is always admitted: something has to begin for the load to be known.
constexpr auto s_leastShareOfAll = 0.05;

/// Updates that are further apart are taken to be this far apart: a host that was frozen does not act on the time in between.
constexpr auto s_maxStep = Milliseconds(1'000);

/// Refused programs return within this time, those that are closest to being admitted first.
constexpr auto s_firstReturn = Milliseconds(150);
constexpr auto s_returnSpread = Milliseconds(600);

constexpr auto s_hashRange = 18'446'744'073'709'551'616.0; // 2^64

} // namespace

ProgramAdmission::ProgramAdmission()
    : m_targetLoad(s_firstTarget)
{}

auto ProgramAdmission::levelTarget(int priority) const -> double
{
    const auto levels = std::max(m_lowestPriority, 1);
    const auto urgency = static_cast<double>(std::max(m_lowestPriority - priority, 0)) / levels;
    return m_targetLoad + s_priorityAllowance * urgency;
}

auto ProgramAdmission::update(const ServiceLoad& load, int lowestPriority, Instant now) -> void
{
    const auto step = std::chrono::duration<double>(std::min<Instant::duration>(now - m_updatedAt, s_maxStep)).count();
    m_updatedAt = now;
    m_load = load;
    m_lowestPriority = lowestPriority;
    const auto excess = load.stretch.average() - s_targetStretch;
    if (load.stretch.idleMs >= s_minIdleMs && (isSelective() || excess > 0)) {
        m_targetLoad = std::clamp(m_targetLoad - s_targetPerSecond * excess * step, s_lowestTarget, s_highestTarget);
    }
    auto floor = s_leastShareOfAll;
    for (auto priority = 0; priority <= lowestPriority; ++priority) {
        auto& level = m_levels[priority];
        const auto error = load.load / levelTarget(priority) - 1;
        level.integral = std::clamp(level.integral - error * step / s_integralSeconds, std::log(floor), 0.0);
        level.share = std::clamp(std::exp(level.integral - s_proportion * std::max(error, 0.0)), floor, 1.0);
        floor = std::max(m_levels[0].share * s_leastRelativeShare, s_leastShareOfAll);
    }
}

auto ProgramAdmission::share(int priority) const -> double
{
    const auto level = m_levels.find(std::clamp(priority, 0, m_lowestPriority));
    return level == m_levels.end() ? 1 : level->second.share;
}

auto ProgramAdmission::isSelective() const -> bool
{
    return std::ranges::any_of(m_levels, [](const auto& level) { return level.second.share < 1; });
}

auto ProgramAdmission::decide(std::string_view program, std::uint32_t account, int priority) const -> AdmissionDecision
{
    const auto served = share(priority);
    const auto share = served < 1 ? FairShares(m_demands, served).shareOf(account) : 1;
    const auto position = static_cast<double>(framework::hash64(program)) / s_hashRange;
    if (position < share) {
        return {.isAdmitted = true, .share = share, .retryAfter = Milliseconds(0)};
    }
    const auto distance = (position - share) / (1 - share);
    return {.isAdmitted = false,
            .share = share,
            .retryAfter = s_firstReturn + std::chrono::duration_cast<Milliseconds>(s_returnSpread * distance)};
}

} // namespace laburnummill::scheduling
