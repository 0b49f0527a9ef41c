#include "programs/turnstart.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

/// For what the start of a turn takes besides its run: tokens, placement, and the way to its caller.
constexpr auto s_startAllowance = framework::Milliseconds(200);

auto latestForFirstEvent(const TurnStartView& view) -> framework::Instant
{
    return view.arrivedAt + view.callerIdleTimeout - view.expectedFirstWait - s_startAllowance;
}

} // namespace

auto TurnStart::latest(const TurnStartView& view) -> framework::Instant
{
    return std::max(view.arrivedAt, std::min(view.endBy - view.callerIdleTimeout - view.expectedRunTime, latestForFirstEvent(view)));
}

auto TurnStart::latestWithStore(const TurnStartView& view) -> framework::Instant
{
    return std::max(view.arrivedAt, std::min(view.endBy - view.expectedRunTime - s_startAllowance, latestForFirstEvent(view)));
}

} // namespace laburnummill::programs
