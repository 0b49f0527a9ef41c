#include "configuration/configurationerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::configuration {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<ConfigurationError>>({
    {ConfigurationError::NoneKnown, "configuration_unknown", "this host has no configuration yet", FailureKind::Unavailable},
    {ConfigurationError::Invalid, "configuration_invalid", "the configuration is not valid", FailureKind::BadRequest},
    {ConfigurationError::VersionConflict, "configuration_conflict", "the configuration was changed by another operator",
     FailureKind::Conflict},
    {ConfigurationError::NotYetInForce, "configuration_unconfirmed", "the change is not confirmed by all data centres yet",
     FailureKind::Timeout},
    {ConfigurationError::DataCentreUnknown, "data_centre_unknown", "the configuration has no such data centre", FailureKind::NotFound},
    {ConfigurationError::BackendServerUnknown, "backend_server_unknown", "the configuration has no such back end", FailureKind::NotFound},
    {ConfigurationError::VersionUnknown, "configuration_version_unknown", "this version is not kept in the configuration history",
     FailureKind::NotFound},
});

} // namespace

auto make_error_code(ConfigurationError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<ConfigurationError>("configuration", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::configuration
