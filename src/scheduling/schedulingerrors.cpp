#include "scheduling/schedulingerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::scheduling {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<SchedulingError>>({
    {SchedulingError::PoolUnknown, "pool_unknown", "there is no such pool", FailureKind::NotFound},
    {SchedulingError::NoBackend, "no_backend", "no back end of the pool accepts work now", FailureKind::Unavailable},
    {SchedulingError::QueueFull, "queue_full", "the pool's queue of waiting calls is full", FailureKind::Unavailable},
    {SchedulingError::DeadlineExceeded, "deadline_exceeded", "no back end became free before the call's deadline", FailureKind::Timeout},
    {SchedulingError::Cancelled, "cancelled", "the call was cancelled", FailureKind::Unavailable},
    {SchedulingError::DispatcherUnreachable, "dispatcher_unreachable", "the pool's dispatcher cannot be reached", FailureKind::Unavailable},
});

} // namespace

auto make_error_code(SchedulingError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<SchedulingError>("scheduling", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::scheduling
