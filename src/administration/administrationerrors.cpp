#include "administration/administrationerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::administration {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<AdministrationError>>({
    {AdministrationError::KeyMissing, "operator_key_missing", "the request has no operator key", FailureKind::Unauthenticated},
    {AdministrationError::KeyUnknown, "operator_key_unknown", "the operator key is unknown or was withdrawn", FailureKind::Unauthenticated},
    {AdministrationError::RoleTooLow, "role_too_low", "the operator's role does not allow this", FailureKind::Forbidden},
    {AdministrationError::OtherTeam, "other_team", "the object belongs to another team", FailureKind::Forbidden},
    {AdministrationError::PathUnknown, "path_unknown", "no endpoint at this path", FailureKind::NotFound},
    {AdministrationError::BodyInvalid, "body_invalid", "a field is missing or has the wrong type", FailureKind::BadRequest},
    {AdministrationError::AuditUnavailable, "audit_unavailable", "the audit entry could not be written, so the change was not made",
     FailureKind::Unavailable},
    {AdministrationError::OperatorUnknown, "operator_unknown", "unknown operator", FailureKind::NotFound},
    {AdministrationError::NameUnknown, "name_unknown", "no object with this name", FailureKind::NotFound},
});

} // namespace

auto make_error_code(AdministrationError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<AdministrationError>("administration", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::administration
