#include "coordination/coordinationerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::coordination {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<CoordinationError>>({
    {CoordinationError::NoView, "view_unknown", "this host has not received the members of its data centre yet", FailureKind::Unavailable},
    {CoordinationError::LeaseExpired, "lease_expired", "this host's lease has run out", FailureKind::Unavailable},
    {CoordinationError::NotOwner, "not_owner", "another host owns the shard", FailureKind::Unavailable},
    {CoordinationError::DataCentreUnknown, "data_centre_unknown", "the data centre is not known to this host", FailureKind::NotFound},
    {CoordinationError::DataCentreCutOff, "data_centre_cut_off", "no member of the data centre is available", FailureKind::Unavailable},
    {CoordinationError::StaleView, "view_stale",
     "the members of the data centre have changed and leases of an earlier view may still be valid", FailureKind::Conflict},
});

} // namespace

auto make_error_code(CoordinationError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<CoordinationError>("coordination", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::coordination
