#pragma once

#include "calls/internal/callsteps.h"
#include "calls/internal/retryplan.h"

namespace laburnummill::calls {

/// State machine of a repeatable call: acquires a permit, sends the request and sends it again after a temporary failure.
/// Single-threaded, without I/O: takes events with the current time and returns the next step.
class RepeatableMachine
{
public:
    /// `timeout` limits each request to the backend server.
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
    Ran m_ran = Ran::No; ///< whether any request of the call was or may have been executed
};

} // namespace laburnummill::calls
