#include "calls/callerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::calls {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<CallError>>({
    {CallError::RouteUnknown, "route_unknown", "the route does not exist", FailureKind::NotFound},
    {CallError::BodyNotJson, "body_not_json", "the body is not a JSON object", FailureKind::BadRequest},
    {CallError::IdempotencyKeyMissing, "idempotency_key_missing", "a call of a non-repeatable route requires an idempotency key",
     FailureKind::BadRequest},
    {CallError::IdempotencyKeyReused, "idempotency_key_reused", "the idempotency key was already used with a different route or body",
     FailureKind::Conflict},
    {CallError::OutcomeUnknown, "outcome_unknown", "the call may have run; an operator must resolve its outcome", FailureKind::Conflict},
    {CallError::Running, "call_running", "another attempt at the same call is still running", FailureKind::Conflict},
    {CallError::RecordUnavailable, "record_unavailable", "the call's record cannot be written to the store at present",
     FailureKind::Unavailable},
    {CallError::Quarantined, "request_quarantined", "the request is quarantined because it has crashed backend servers",
     FailureKind::Conflict},
    {CallError::DeadlineExceeded, "deadline_exceeded", "the call did not end before its deadline", FailureKind::Timeout},
    {CallError::Cancelled, "call_cancelled", "the call was cancelled", FailureKind::Unavailable},
    {CallError::KeyWithdrawn, "key_withdrawn", "the key was withdrawn", FailureKind::Unauthenticated},
    {CallError::RanWithoutAnswer, "ran_without_answer", "the call has run, but its answer is lost", FailureKind::Conflict},
    {CallError::AnswerNotKept, "answer_not_kept", "the call has run, but its answer was too large to be stored", FailureKind::Conflict},
    {CallError::TooManyAttempts, "too_many_attempts", "too many non-repeatable calls are active on this host", FailureKind::Unavailable},
    {CallError::OutcomeNotUnknown, "outcome_not_unknown", "the call has no unknown outcome to settle", FailureKind::NotFound},
    {CallError::NotQuarantined, "not_quarantined", "the request is not in quarantine", FailureKind::NotFound},
    {CallError::ExecutorAlive, "executor_alive", "the host that executes the call may still be running it", FailureKind::Conflict},
});

} // namespace

auto make_error_code(CallError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<CallError>("calls", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::calls
