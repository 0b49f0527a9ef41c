#pragma once

#include "framework/global/time.h"

namespace laburnummill::peers {

/// Time between two heartbeats of a host in a fleet of so many: a host takes some hundred datagrams a second at most.
auto heartbeatInterval(int hosts) -> framework::Milliseconds;

/// When a host sends its heartbeats.
class HeartbeatSchedule
{
public:
    /// How often to ask whether one is due, in a fleet of so many hosts.
    static auto pollInterval(int hosts) -> framework::Milliseconds;

    /// Whether one is due now. `hasUrgentUpdates`: other hosts should know before the interval is over.
    auto isDue(int hosts, bool hasUrgentUpdates, framework::Instant now) const -> bool;

    auto markSent(framework::Instant now) -> void { m_lastSentAt = now; }

private:
    framework::Instant m_lastSentAt{};
};

} // namespace laburnummill::peers
