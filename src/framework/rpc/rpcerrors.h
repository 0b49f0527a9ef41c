#pragma once

#include <system_error>

namespace laburnummill::framework {

/// Failures of an exchange with a peer.
enum class RpcError
{
    PeerUnreachable = 1, ///< the request was not sent
    LinkLost,            ///< the request may have arrived
    TimedOut,            ///< the request may have arrived
    UnknownTopic,
    Malformed,
    Overloaded, ///< the request was not sent
    Cancelled,
    Refused,
    BindFailed,
};

auto make_error_code(RpcError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::framework

template<>
struct std::is_error_code_enum<laburnummill::framework::RpcError> : std::true_type
{};
