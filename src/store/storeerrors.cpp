#include "store/storeerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::store {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<StoreError>>({
    {StoreError::Unavailable, "store_unavailable", "the store refused the call, nothing was done", FailureKind::Unavailable},
    {StoreError::Overloaded, "store_overloaded", "the store's rates are used up, nothing was done", FailureKind::Unavailable},
    {StoreError::OutcomeUnknown, "store_outcome_unknown", "the store did not answer", FailureKind::Unavailable},
    {StoreError::HistoryGone, "store_history_gone", "the changes asked for are no longer kept", FailureKind::Conflict},
    {StoreError::Malformed, "store_malformed", "the store's answer cannot be read", FailureKind::Internal},
    {StoreError::Rejected, "store_rejected", "the store does not accept the call", FailureKind::Internal},
});

} // namespace

auto make_error_code(StoreError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<StoreError>("store", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::store
