#pragma once

#include "framework/global/time.h"

namespace laburnummill::peers {

/// Returns the time between two heartbeats of a host in a fleet of `hosts`. It grows with the fleet, so that a host receives
/// a few hundred datagrams per second at most.
auto heartbeatInterval(int hosts) -> framework::Milliseconds;

/// Returns the time without a heartbeat after which a host of a fleet of `hosts` counts as unreachable.
auto unreachableAfter(int hosts) -> framework::Milliseconds;

/// Decides when a host sends its heartbeats.
class HeartbeatSchedule
{
public:
    /// Interval at which to call isDue() in a fleet of `hosts`.
    static auto pollInterval(int hosts) -> framework::Milliseconds;

    /// Whether a heartbeat is due now. With `hasUrgentUpdates` it is due before the regular interval has passed.
    auto isDue(int hosts, bool hasUrgentUpdates, framework::Instant now) const -> bool;

    auto markSent(framework::Instant now) -> void { m_lastSentAt = now; }

private:
    framework::Instant m_lastSentAt{};
};

} // namespace laburnummill::peers
