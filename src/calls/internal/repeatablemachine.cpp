#include "calls/internal/repeatablemachine.h"

#include "calls/callerrors.h"

#include <algorithm>

namespace laburnummill::calls {

using framework::Instant;
using framework::Milliseconds;

RepeatableMachine::RepeatableMachine(Instant deadline, Milliseconds timeout, RetryPlan plan)
    : m_deadline(deadline)
    , m_timeout(timeout)
    , m_plan(plan)
{}

auto RepeatableMachine::begin(Instant now) -> CallStep
{
    return acquire(now);
}

auto RepeatableMachine::acquire(Instant now) -> CallStep
{
    if (now >= m_deadline) {
        return fail(callFailure(CallError::DeadlineExceeded, m_ran));
    }
    return AcquirePermit{std::chrono::ceil<Milliseconds>(m_deadline - now)};
}

auto RepeatableMachine::fail(CallFailure failure) const -> CallStep
{
    // NOTE An earlier request of this call may have been executed, even if the last one was not.
    failure.ran = std::max(failure.ran, m_ran);
    return End{std::move(failure)};
}

auto RepeatableMachine::onPermit(const AcquireEnded& event, Instant now) -> CallStep
{
    if (event.refusal) {
        return fail(*event.refusal);
    }
    if (now >= m_deadline) {
        return fail(callFailure(CallError::DeadlineExceeded, m_ran));
    }
    return Dispatch{std::min(m_timeout, std::chrono::ceil<Milliseconds>(m_deadline - now))};
}

auto RepeatableMachine::onDispatch(const DispatchEnded& event, Instant now) -> CallStep
{
    const auto* failure = std::get_if<CallFailure>(&event.outcome);
    if (failure == nullptr) {
        return End{event.outcome};
    }
    m_ran = std::max(m_ran, failure->ran);
    if (event.isRetryable && !event.piecesDelivered) {
        if (const auto delay = m_plan.nextDelay(now, m_deadline)) {
            return Wait{*delay};
        }
    }
    return fail(*failure);
}

auto RepeatableMachine::handle(const CallEvent& event, Instant now) -> CallStep
{
    if (const auto* permit = std::get_if<AcquireEnded>(&event)) {
        return onPermit(*permit, now);
    }
    if (const auto* ended = std::get_if<DispatchEnded>(&event)) {
        return onDispatch(*ended, now);
    }
    if (std::holds_alternative<CallCancelled>(event)) {
        return fail(callFailure(CallError::Cancelled, m_ran));
    }
    return acquire(now);
}

} // namespace laburnummill::calls
