#pragma once

#include <system_error>

namespace laburnummill::framework {

/// Failures of an HTTP exchange, told apart by what may have reached the other side.
enum class HttpError
{
    ConnectFailed = 1, ///< no byte of the request left
    ConnectionLost,    ///< the request may have arrived
    TimedOut,          ///< the request may have arrived
    Truncated,         ///< the answer broke off
    BodyTooLarge,
    Malformed,
    CallerGone,
    BindFailed,
    BadCertificate,
};

auto make_error_code(HttpError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::framework

template<>
struct std::is_error_code_enum<laburnummill::framework::HttpError> : std::true_type
{};
