#include "scheduling/fairshares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace laburnummill::scheduling {

namespace {

/// Time constant of the average: bursts of an account last for seconds.
constexpr auto s_averageSeconds = 2.0;

/// Demands below this are dropped.
constexpr auto s_leastDemand = 0.01;

} // namespace

auto DemandTracker::decayTo(framework::Instant now) -> void
{
    const auto left = std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / s_averageSeconds);
    for (auto& [account, demand] : m_demands) {
        demand *= left;
    }
    std::erase_if(m_demands, [](const auto& entry) { return entry.second < s_leastDemand; });
    m_updatedAt = now;
}

auto DemandTracker::add(std::uint32_t account, double work, framework::Instant now) -> void
{
    decayTo(now);
    m_demands[account] += work / s_averageSeconds;
}

auto DemandTracker::current(framework::Instant now) -> AccountDemands
{
    decayTo(now);
    return m_demands;
}

FairShares::FairShares(const AccountDemands& demands, double servedShare)
    : m_demands(demands)
{
    auto sorted = std::vector<double>();
    auto left = 0.0;
    for (const auto& [account, demand] : demands) {
        sorted.push_back(demand);
        left += demand * servedShare;
    }
    if (servedShare >= 1) {
        return;
    }
    std::ranges::sort(sorted);
    auto accounts = static_cast<double>(sorted.size());
    for (const auto demand : sorted) {
        m_most = left / accounts;
        if (demand > m_most) {
            return;
        }
        left -= demand;
        --accounts;
    }
}

auto FairShares::shareOf(std::uint32_t account) const -> double
{
    const auto found = m_demands.find(account);
    if (m_most <= 0 || found == m_demands.end() || found->second <= 0) {
        return 1;
    }
    return std::min(1.0, m_most / found->second);
}

} // namespace laburnummill::scheduling
