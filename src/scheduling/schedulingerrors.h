#pragma once

#include <system_error>

namespace laburnummill::scheduling {

/// The reason that a call gets no permit.
enum class SchedulingError
{
    PoolUnknown = 1,
    NoBackend, ///< no back end of the pool accepts work in this data centre
    QueueFull,
    DeadlineExceeded, ///< no back end became free before the caller's deadline
    Cancelled,
    DispatcherUnreachable,
};

auto make_error_code(SchedulingError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::scheduling

template<>
struct std::is_error_code_enum<laburnummill::scheduling::SchedulingError> : std::true_type
{};
