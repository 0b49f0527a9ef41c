#pragma once

#include "calls/internal/callsteps.h"
#include "calls/internal/retryplan.h"

namespace laburnummill::calls {

/// The life of a call that may be repeated: permit, request, and again where that can help.
/// Single-threaded and without I/O: takes events with a time, returns the next step.
class RepeatableMachine
{
public:
    RepeatableMachine(framework::Instant deadline, framework::Milliseconds timeout, RetryPlan plan);

    auto begin(framework::Instant now) -> CallStep;
    auto handle(const CallEvent& event, framework::Instant now) -> CallStep;

private:
    auto acquire(framework::Instant now) -> CallStep;
    auto onPermit(const AcquireEnded& event, framework::Instant now) -> CallStep;
    auto onDispatch(const DispatchEnded& event, framework::Instant now) -> CallStep;
    auto fail(CallFailure failure) const -> CallStep;

    framework::Instant m_deadline;
    framework::Milliseconds m_timeout;
    RetryPlan m_plan;
    Ran m_ran = Ran::No; ///< of all tries so far
};

} // namespace laburnummill::calls
