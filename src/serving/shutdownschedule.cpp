#include "serving/shutdownschedule.h"

namespace laburnummill::serving {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// The load balancer probes hosts once a second and removes a host after two failed probes; callers connect until then.
constexpr auto s_noticeTime = Milliseconds(2'500);

/// Part of the grace period that is reserved for the exit of the process, after everything has ended.
constexpr auto s_exitReserve = Milliseconds(700);

/// Time after its deadline that a request may need until its turn is replicated and its response is written.
constexpr auto s_completionReserve = Milliseconds(700);

} // namespace

auto ShutdownSchedule::begin(Instant now, Milliseconds gracePeriod) -> void
{
    m_hasBegun = true;
    m_noticedAt = now + s_noticeTime;
    m_end = now + gracePeriod - s_exitReserve;
}

auto ShutdownSchedule::mayAccept(Instant deadline) const -> bool
{
    return !m_hasBegun || (!m_hasEnded && deadline + s_completionReserve <= m_end);
}

} // namespace laburnummill::serving
