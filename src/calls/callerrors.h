#pragma once

#include <system_error>

namespace laburnummill::calls {

/// Reasons why a call fails.
enum class CallError
{
    RouteUnknown = 1,
    BodyNotJson,
    IdempotencyKeyMissing, ///< calls of a non-repeatable route need a key that identifies them
    IdempotencyKeyReused,  ///< the key was used before with a different route or body
    OutcomeUnknown,        ///< the call may have run; an operator must resolve the outcome
    Running,               ///< another attempt at the same call is still running
    RecordUnavailable,     ///< the store cannot write the record that prevents a second run
    Quarantined,           ///< the request has repeatedly crashed backend servers
    DeadlineExceeded,
    Cancelled,
    KeyWithdrawn,
    RanWithoutAnswer,  ///< an operator determined that the call ran; its answer is lost
    AnswerNotKept,     ///< the call ran; its answer was too large to be stored
    TooManyAttempts,   ///< too many non-repeatable calls are active on this host
    OutcomeNotUnknown, ///< the call has no unknown outcome that could be settled
    NotQuarantined,    ///< the request is not in quarantine
    ExecutorAlive,     ///< the host that executes the call may still be running it
};

auto make_error_code(CallError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::calls

template<>
struct std::is_error_code_enum<laburnummill::calls::CallError> : std::true_type
{};
