#pragma once

#include "framework/global/iclock.h"

namespace laburnummill::framework {

/// A clock that moves only when told to: virtual time for randomised runs and measurements.
class ManualClock final : public IClock
{
public:
    auto now() const -> Instant override { return m_now; }
    auto wallTime() const -> WallTime override { return WallTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch())); }

    auto advance(Microseconds step) -> void { m_now += step; }
    auto set(Instant now) -> void { m_now = now; }

private:
    Instant m_now{};
};

} // namespace laburnummill::framework
