#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::peers {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// A fifth of a second: counts over all hosts lag by no more than that part of a rate.
constexpr auto s_minInterval = Milliseconds(200);

/// Keeps the datagrams that a host takes below some 400 a second in large fleets.
constexpr auto s_intervalPerHost = Milliseconds(5);

/// In large fleets, where heartbeats are rare, urgent news are told this soon: all hosts see the same last request left of a
/// limit and may admit it.
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
