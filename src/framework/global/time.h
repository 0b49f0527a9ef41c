#pragma once

#include <chrono>
#include <cstdint>

namespace laburnummill::framework {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A point on a host's monotonic clock. Never compared between hosts.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// A point on the wall clock, for records that outlive a process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Milliseconds since the Unix epoch.
inline auto unixMilliseconds(WallTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

} // namespace laburnummill::framework
