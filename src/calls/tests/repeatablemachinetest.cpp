#include "calls/internal/repeatablemachine.h"
#include "backends/backenderrors.h"
#include "calls/callerrors.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::calls; // NOLINT(google-build-using-namespace)
using laburnummill::backends::BackendError;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

auto failed(BackendError error, Ran ran, bool piecesDelivered = false) -> DispatchEnded
{
    return {callFailure(error, ran), true, piecesDelivered};
}

auto failureOf(const CallStep& step) -> CallFailure
{
    return std::get<CallFailure>(*std::get<End>(step).outcome);
}

} // namespace

TEST_GROUP(RepeatableMachine)
{
    RetryBudget budget;
    Instant now{};
    RepeatableMachine machine{now + Milliseconds(5'000), Milliseconds(2'000), RetryPlan(budget, 7)};

    auto advanceToDispatch()->CallStep
    {
        machine.begin(now);
        return machine.handle(AcquireEnded(), now);
    }
};

TEST(RepeatableMachine, acquiresAPermitThenSends)
{
    CHECK_TRUE(std::holds_alternative<AcquirePermit>(machine.begin(now)));
    const auto step = machine.handle(AcquireEnded(), now);
    CHECK_TRUE(std::get<Dispatch>(step).timeout == Milliseconds(2'000));
}

TEST(RepeatableMachine, retriesAfterADelayButNotPastTheDeadline)
{
    advanceToDispatch();
    const auto delay = machine.handle(failed(BackendError::ConnectionLost, Ran::Unknown), now);
    CHECK_TRUE(std::holds_alternative<Wait>(delay));
    CHECK_TRUE(std::holds_alternative<AcquirePermit>(machine.handle(WaitEnded(), now + Milliseconds(100))));
    machine.handle(AcquireEnded(), now + Milliseconds(200));
    const auto late = machine.handle(failed(BackendError::ConnectionLost, Ran::Unknown), now + Milliseconds(5'000));
    STRCMP_EQUAL("backend_connection_lost", failureOf(late).code.c_str());
}

TEST(RepeatableMachine, failureReportsPossibleRunIfAnyTryMayHaveRun)
{
    advanceToDispatch();
    machine.handle(failed(BackendError::ConnectionLost, Ran::Unknown), now);
    machine.handle(WaitEnded(), now);
    const auto refused = machine.handle(AcquireEnded{callFailure(CallError::DeadlineExceeded, Ran::No)}, now);
    CHECK_TRUE(failureOf(refused).ran == Ran::Unknown);
}

TEST(RepeatableMachine, doesNotRetryAfterPiecesReachedTheCaller)
{
    advanceToDispatch();
    const auto step = machine.handle(failed(BackendError::Truncated, Ran::Unknown, true), now);
    CHECK_TRUE(std::holds_alternative<End>(step));
}

TEST(RepeatableMachine, doesNotRetryWhenTheRetryBudgetIsExhausted)
{
    while (budget.spend()) {
    }
    advanceToDispatch();
    CHECK_TRUE(std::holds_alternative<End>(machine.handle(failed(BackendError::ConnectionLost, Ran::Unknown), now)));
}

TEST(RepeatableMachine, endsWhenTheCallIsCancelled)
{
    advanceToDispatch();
    machine.handle(failed(BackendError::ConnectionLost, Ran::Unknown), now);
    STRCMP_EQUAL("call_cancelled", failureOf(machine.handle(CallCancelled(), now)).code.c_str());
}
