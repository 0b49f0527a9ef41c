#include "gateway/gatewayerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::gateway {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<GatewayError>>({
    {GatewayError::PathUnknown, "path_unknown", "no endpoint at this path", FailureKind::NotFound},
    {GatewayError::MethodNotAllowed, "method_not_allowed", "the path does not support this method", FailureKind::BadRequest},
    {GatewayError::BodyNotJson, "body_not_json", "the request body is not a JSON object", FailureKind::BadRequest},
    {GatewayError::FieldMissing, "field_missing", "a required field is missing", FailureKind::BadRequest},
    {GatewayError::FieldInvalid, "field_invalid", "a field has the wrong type or value", FailureKind::BadRequest},
    {GatewayError::NotReady, "not_ready", "this host is not ready to accept requests", FailureKind::Unavailable},
    {GatewayError::Stopping, "stopping", "this host is stopping", FailureKind::Unavailable},
});

} // namespace

auto make_error_code(GatewayError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<GatewayError>("gateway", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::gateway
