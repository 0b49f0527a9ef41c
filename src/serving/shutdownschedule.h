#pragma once

#include "framework/global/iclock.h"

namespace laburnummill::serving {

/// Decides which requests a host that was asked to stop still accepts, and when it ends.
///
/// Callers may reach a stopping host until it ends: load balancers notice its state late, and send callers to all hosts of a data
/// centre if most of them are stopping. Whatever the host accepts must be complete before it ends.
class ShutdownSchedule
{
public:
    /// Starts the shutdown; the process is killed at `now` + `gracePeriod`.
    auto begin(framework::Instant now, framework::Milliseconds gracePeriod) -> void;

    /// From now on no request may be accepted.
    auto end() -> void { m_hasEnded = true; }

    auto hasBegun() const -> bool { return m_hasBegun; }

    /// Whether a request that ends by `deadline` may be accepted: the host ends later.
    auto mayAccept(framework::Instant deadline) const -> bool;

    /// Whether load balancers have had time to notice that this host is stopping.
    auto haveBalancersNoticed(framework::Instant now) const -> bool { return now >= m_noticedAt; }

    /// Whether the host must end now, whatever is in progress.
    auto mustEnd(framework::Instant now) const -> bool { return now >= m_end; }

private:
    bool m_hasBegun = false;
    bool m_hasEnded = false;
    framework::Instant m_noticedAt{};
    framework::Instant m_end{};
};

} // namespace laburnummill::serving
