#pragma once

#include <system_error>

namespace laburnummill::coordination {

/// Why a host may not act for a shard or does not know its owner.
enum class CoordinationError
{
    NoView = 1,        ///< this host has not received a view of its data centre yet
    LeaseExpired,      ///< this host holds no valid lease
    NotOwner,          ///< another host owns the shard
    DataCentreUnknown, ///< no view of the data centre is known
    DataCentreCutOff,  ///< the data centre's view has no member that is not fenced
    StaleView,         ///< another host may still act for the shard under an earlier view
};

auto make_error_code(CoordinationError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::coordination

template<>
struct std::is_error_code_enum<laburnummill::coordination::CoordinationError> : std::true_type
{};
