#pragma once

#include <system_error>

namespace laburnummill::configuration {

/// Errors of reading and changing the configuration.
enum class ConfigurationError
{
    NoneKnown = 1,
    Invalid,
    VersionConflict, ///< another change was accepted first
    NotYetInForce,   ///< accepted, but not confirmed by all data centres within the timeout
    DataCentreUnknown,
    BackendServerUnknown,
    VersionUnknown, ///< never accepted, or no longer in the history
};

auto make_error_code(ConfigurationError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::configuration

template<>
struct std::is_error_code_enum<laburnummill::configuration::ConfigurationError> : std::true_type
{};
