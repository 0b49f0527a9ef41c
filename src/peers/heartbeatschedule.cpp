#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::peers {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Interval in small fleets. It limits the requests that fleet-wide counts lack to a fifth of a second of the rate.
constexpr auto s_minInterval = Milliseconds(200);

/// Interval per host of a large fleet. Limits the datagrams that a host receives to about 400 per second.
constexpr auto s_intervalPerHost = Milliseconds(5);

/// Interval for urgent updates in large fleets, where regular heartbeats are infrequent. Until hosts receive an update, each
/// of them may use the same last token of a limit.
constexpr auto s_minUrgentInterval = Milliseconds(100);

/// A host is unreachable after five missed heartbeats in a small fleet or two in a large one: random packet loss does not
/// cause that many.
constexpr auto s_minUnreachableAfter = Milliseconds(1'000);
constexpr auto s_maxMissedIntervals = 2.5;

} // namespace

auto heartbeatInterval(int hosts) -> Milliseconds
{
    return std::max(s_minInterval, s_intervalPerHost * hosts);
}

auto unreachableAfter(int hosts) -> Milliseconds
{
    const auto missed = std::chrono::duration_cast<Milliseconds>(heartbeatInterval(hosts) * s_maxMissedIntervals);
    return std::max(s_minUnreachableAfter, missed);
}

auto HeartbeatSchedule::pollInterval(int hosts) -> Milliseconds
{
    const auto interval = heartbeatInterval(hosts);
    return interval > s_minInterval ? s_minUrgentInterval : interval;
}

auto HeartbeatSchedule::isDue(int hosts, bool hasUrgentUpdates, Instant now) const -> bool
{
    return now >= m_lastSentAt + (hasUrgentUpdates ? pollInterval(hosts) : heartbeatInterval(hosts));
}

} // namespace laburnummill::peers
