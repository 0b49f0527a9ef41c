#include "accounts/fleetlimiter.h"

#include "framework/logging/log.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::accounts {

namespace {

using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;

/// Tokens in a new bucket, in seconds of the rate. A new host has no information about requests admitted before it started.
constexpr auto s_initialSeconds = 0.5;

/// Tokens that starting programs leave for programs in progress, in seconds of the rate. Programs in progress use about this
/// many in the time between two turns of a program. The reserve is limited to a fraction of the burst.
constexpr auto s_reserveSeconds = 0.25;
constexpr auto s_reserveFraction = 0.25;

/// An account is near its limit if it has fewer tokens than this, in seconds of the rate. At its full rate it can use that
/// many in two heartbeat intervals of a large fleet.
constexpr auto s_nearLimitSeconds = 0.8;

/// Lowest rate that retry times are computed with. Keeps them finite on hosts that can reach almost no other host.
constexpr auto s_minRatePerSecond = 0.001;

/// Time over which the estimated number of competing hosts decays to zero once a bucket is no longer overdrawn. Rejected
/// callers retry within a second.
constexpr auto s_overdrawnDecay = Milliseconds(3'000);

/// Largest debt of a bucket for requests that other hosts admitted at the same time, in seconds of the rate.
constexpr auto s_maxDebtSeconds = 5.0;

} // namespace

auto FleetLimiter::setLimit(const std::string& account, double ratePerSecond, double burst, Instant now) -> void
{
    auto& bucket = m_buckets[account];
    if (bucket.ratePerSecond == 0) { // New, or unlimited until now.
        bucket.tokens = std::min(burst, ratePerSecond * s_initialSeconds);
        bucket.filledAt = now;
    }
    fill(bucket, now);
    if (bucket.ratePerSecond != ratePerSecond || bucket.burst != burst) {
        framework::logEvent(framework::LogLevel::Info, "accounts", "limit_in_force",
                            {{"account", account}, {"ratePerSecond", ratePerSecond}, {"burst", burst}, {"tokens", bucket.tokens}});
    }
    bucket.ratePerSecond = ratePerSecond;
    bucket.burst = burst;
    bucket.tokens = std::min(bucket.tokens, burst);
}

auto FleetLimiter::keepOnly(const std::set<std::string>& accounts) -> void
{
    std::erase_if(m_buckets, [&accounts](const auto& entry) { return !accounts.contains(entry.first); });
    std::erase_if(m_admitted, [&accounts](const auto& entry) { return !accounts.contains(entry.first); });
}

auto FleetLimiter::setReachableFraction(double share, Instant now) -> void
{
    if (share == m_reachableFraction) {
        return;
    }
    for (auto& [account, bucket] : m_buckets) {
        fill(bucket, now);
    }
    m_reachableFraction = share;
}

auto FleetLimiter::admit(std::string_view account, ProgramPhase phase, Instant now) -> bool
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0) {
        return true;
    }
    auto& bucket = found->second;
    fill(bucket, now);
    const auto mustYieldToOthers = competingHosts(bucket) >= 1 && bucket.accruedShare < bucket.requiredShare;
    if (mustYieldToOthers || bucket.tokens < requiredTokens(bucket, phase)) {
        return false;
    }
    bucket.tokens -= 1;
    bucket.accruedShare = 0;
    bucket.requiredShare = std::exponential_distribution()(m_random);
    ++m_admitted[found->first];
    return true;
}

auto FleetLimiter::giveBack(std::string_view account, Instant now) -> void
{
    const auto found = m_buckets.find(account);
    const auto admitted = m_admitted.find(account);
    if (found == m_buckets.end() || admitted == m_admitted.end() || admitted->second == 0) {
        return;
    }
    fill(found->second, now);
    found->second.tokens += 1;
    --admitted->second;
}

auto FleetLimiter::recordRemote(std::string_view account, std::int64_t requests, Instant now) -> void
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0) {
        return;
    }
    auto& bucket = found->second;
    fill(bucket, now);
    bucket.tokens = std::max(bucket.tokens - static_cast<double>(requests), -bucket.ratePerSecond * s_maxDebtSeconds);
    if (bucket.tokens < 0) {
        bucket.overdrawn = std::max(competingHosts(bucket), -bucket.tokens);
    }
}

auto FleetLimiter::timeToNext(std::string_view account, ProgramPhase phase, Instant now) -> Milliseconds
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0) {
        return Milliseconds(0);
    }
    auto& bucket = found->second;
    fill(bucket, now);
    const auto missingTokens = std::max(requiredTokens(bucket, phase) - bucket.tokens, 0.0);
    const auto missingShare = competingHosts(bucket) >= 1 ? std::max(bucket.requiredShare - bucket.accruedShare, 0.0) : 0.0;
    const auto rate = std::max(bucket.ratePerSecond * m_reachableFraction, s_minRatePerSecond);
    const auto shareRate = std::max(sharePerSecond(bucket, std::max(bucket.tokens, 1.0)), s_minRatePerSecond);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::max(missingTokens / rate, missingShare / shareRate) * 1'000)));
}

auto FleetLimiter::isNearLimit(std::string_view account, Instant now) -> bool
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0) {
        return false;
    }
    fill(found->second, now);
    return found->second.tokens < found->second.ratePerSecond * s_nearLimitSeconds;
}

auto FleetLimiter::fill(Bucket& bucket, Instant now) const -> void
{
    if (now <= bucket.filledAt) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.filledAt = now;
    if (bucket.tokens < 0) {
        bucket.overdrawnUntil = now;
    }
    bucket.accruedShare += sharePerSecond(bucket, std::max(bucket.tokens, 0.0)) * seconds;
    bucket.tokens = std::min(bucket.tokens + bucket.ratePerSecond * m_reachableFraction * seconds, capacity(bucket));
}

auto FleetLimiter::competingHosts(const Bucket& bucket) const -> double
{
    const auto age =
        std::chrono::duration<double>(bucket.filledAt - bucket.overdrawnUntil) / std::chrono::duration<double>(s_overdrawnDecay);
    return bucket.overdrawn * std::max(0.0, 1 - age);
}

auto FleetLimiter::capacity(const Bucket& bucket) const -> double
{
    return std::max(bucket.burst * m_reachableFraction, 1.0);
}

auto FleetLimiter::sharePerSecond(const Bucket& bucket, double availableTokens) const -> double
{
    return bucket.ratePerSecond * m_reachableFraction * availableTokens / std::max(competingHosts(bucket), 1.0);
}

auto FleetLimiter::requiredTokens(const Bucket& bucket, ProgramPhase phase) const -> double
{
    const auto reserve = std::min(bucket.ratePerSecond * s_reserveSeconds, bucket.burst * s_reserveFraction) * m_reachableFraction;
    return phase == ProgramPhase::InProgress ? 1 : std::max(1.0, std::min(1 + reserve, capacity(bucket)));
}

} // namespace laburnummill::accounts
