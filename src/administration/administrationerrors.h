#pragma once

#include <system_error>

namespace laburnummill::administration {

/// Errors of operator requests.
enum class AdministrationError
{
    KeyMissing = 1,
    KeyUnknown,
    RoleTooLow, ///< the operator's role does not allow this
    OtherTeam,  ///< the object belongs to another team than the operator's
    PathUnknown,
    BodyInvalid,
    AuditUnavailable, ///< the audit entry could not be written, so the change was not made
    OperatorUnknown,
    NameUnknown,
};

auto make_error_code(AdministrationError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::administration

template<>
struct std::is_error_code_enum<laburnummill::administration::AdministrationError> : std::true_type
{};
