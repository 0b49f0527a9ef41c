#pragma once

#include "framework/global/iclock.h"

namespace laburnummill::framework {

/// The clocks of the operating system.
class SystemClock final : public IClock
{
public:
    auto now() const -> Instant override { return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now()); }

    auto wallTime() const -> WallTime override { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }
};

} // namespace laburnummill::framework
