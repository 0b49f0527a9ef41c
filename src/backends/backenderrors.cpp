#include "backends/backenderrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::backends {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<BackendError>>({
    {BackendError::Unreachable, "backend_unreachable", "the back end cannot be reached", FailureKind::Unavailable},
    {BackendError::ConnectionLost, "backend_connection_lost", "the connection to the back end was lost", FailureKind::Unavailable},
    {BackendError::TimedOut, "backend_timed_out", "the back end did not respond in time", FailureKind::Timeout},
    {BackendError::Truncated, "backend_truncated", "the back end's response was truncated", FailureKind::Unavailable},
    {BackendError::WrongAnswer, "backend_wrong_answer", "the response belongs to a different request", FailureKind::Unavailable},
    {BackendError::RefusedOverload, "backend_overloaded", "the back end is overloaded and refused the request", FailureKind::Unavailable},
    {BackendError::RefusedStale, "backend_refused_stale", "the back end refused the request's fencing number as outdated",
     FailureKind::Conflict},
    {BackendError::ServerFailure, "backend_failed", "the back end responded with a server error", FailureKind::Unavailable},
    {BackendError::AnswerTooLarge, "backend_answer_too_large", "the back end's response exceeds the size limit", FailureKind::Unavailable},
    {BackendError::Cancelled, "backend_cancelled", "the request was cancelled", FailureKind::Unavailable},
});

} // namespace

auto make_error_code(BackendError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<BackendError>("backends", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::backends
