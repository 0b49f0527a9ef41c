#pragma once

#include "framework/global/time.h"

#include <string_view>

namespace laburnummill::framework {

/// Source of time for everything that decides; virtual in randomised runs.
class IClock
{
public:
    static constexpr std::string_view s_serviceName = "framework.clock";

    virtual ~IClock() = default;

    virtual auto now() const -> Instant = 0;
    virtual auto wallTime() const -> WallTime = 0;
};

} // namespace laburnummill::framework
