#pragma once

#include <system_error>

namespace laburnummill::peers {

/// Errors of calls to other hosts.
enum class PeerError
{
    Unreachable = 1,
    TimedOut,
    Malformed,
};

auto make_error_code(PeerError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::peers

template<>
struct std::is_error_code_enum<laburnummill::peers::PeerError> : std::true_type
{};
