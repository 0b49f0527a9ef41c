#pragma once

#include <system_error>

namespace laburnummill::gateway {

/// Errors for caller requests that the gateway cannot parse or accept.
enum class GatewayError
{
    PathUnknown = 1,
    MethodNotAllowed,
    BodyNotJson,
    FieldMissing,
    FieldInvalid,
    NotReady,
    Stopping,
};

auto make_error_code(GatewayError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::gateway

template<>
struct std::is_error_code_enum<laburnummill::gateway::GatewayError> : std::true_type
{};
