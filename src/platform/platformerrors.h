#pragma once

#include <system_error>

namespace laburnummill::platform {

/// Failures of the platform's services.
enum class PlatformError
{
    Unavailable = 1, ///< the request surely had no effect
    OutcomeUnknown,  ///< a write may or may not have taken effect
    Conflict,        ///< a row was not at the version expected; nothing was written
    NotFound,
    Malformed,
    TooManyRequests, ///< refused by the platform's own limit; nothing was written
};

auto make_error_code(PlatformError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::platform

template<>
struct std::is_error_code_enum<laburnummill::platform::PlatformError> : std::true_type
{};
