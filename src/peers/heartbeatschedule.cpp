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

} // namespace

auto heartbeatInterval(int hosts) -> Milliseconds
{
    return std::max(s_minInterval, s_intervalPerHost * hosts);
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
