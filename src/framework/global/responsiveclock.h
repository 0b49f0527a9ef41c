#pragma once

#include "framework/global/iclock.h"

#include <algorithm>

namespace laburnummill::framework {

/// Counts the time in which the process handles events. While it is short of processor time, its events wait, and this clock nearly stands
/// still: time-outs measured with it tell the lateness of others from that of the process itself.
///
/// A periodic timer calls tick(). The time since the last tick counts up to twice the timer's period, because the timer and what the
/// process waits for may both be due and be handled in either order. Instants of this clock cannot be compared with those of other clocks.
class ResponsiveClock final : public IClock
{
public:
    ResponsiveClock(const IClock& clock, Milliseconds period)
        : m_clock(clock)
        , m_period(period)
        , m_tickedAt(clock.now())
    {}

    /// Returns by how much the call is later than the timer's period.
    auto tick() -> Milliseconds
    {
        const auto now = m_clock.now();
        const auto late = std::chrono::duration_cast<Milliseconds>(now - m_tickedAt) - m_period;
        m_lost += lostAt(now);
        m_tickedAt = now;
        return std::max(late, Milliseconds(0));
    }

    auto now() const -> Instant override
    {
        const auto now = m_clock.now();
        return now - m_lost - lostAt(now);
    }

    auto wallTime() const -> WallTime override { return m_clock.wallTime(); }

private:
    auto lostAt(Instant now) const -> Instant::duration { return std::max(now - m_tickedAt - 2 * m_period, Instant::duration(0)); }

    const IClock& m_clock;
    Milliseconds m_period;
    Instant m_tickedAt;
    Instant::duration m_lost{0};
};

} // namespace laburnummill::framework
