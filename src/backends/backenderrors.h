#pragma once

#include <system_error>

namespace laburnummill::backends {

/// Failures of requests to a back end.
enum class BackendError
{
    Unreachable = 1, ///< no byte of the request was sent
    ConnectionLost,  ///< the request may have been executed
    TimedOut,        ///< the request may have been executed
    Truncated,       ///< the response ended before its end marker
    WrongAnswer,     ///< the response belongs to a different request
    RefusedOverload, ///< the back end refused the request without executing it
    RefusedStale,    ///< the back end has seen a higher fencing number
    ServerFailure,   ///< the back end responded with a server error
    AnswerTooLarge,
    Cancelled,
};

auto make_error_code(BackendError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::backends

template<>
struct std::is_error_code_enum<laburnummill::backends::BackendError> : std::true_type
{};
