#include "platform/platformerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::platform {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<PlatformError>>({
    {PlatformError::Unavailable, "platform_unavailable", "the platform's service cannot be reached", FailureKind::Unavailable},
    {PlatformError::OutcomeUnknown, "platform_outcome_unknown", "the platform's answer to a write was lost", FailureKind::Unavailable},
    {PlatformError::Conflict, "platform_conflict", "a row was changed by another writer", FailureKind::Conflict},
    {PlatformError::NotFound, "platform_not_found", "the platform holds no such entry", FailureKind::NotFound},
    {PlatformError::Malformed, "platform_malformed", "the platform's answer cannot be read", FailureKind::Internal},
    {PlatformError::TooManyRequests, "platform_busy", "the platform refused the request for now", FailureKind::Unavailable},
});

} // namespace

auto make_error_code(PlatformError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<PlatformError>("platform", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::platform
