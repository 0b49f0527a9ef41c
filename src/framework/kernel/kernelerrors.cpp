#include "framework/kernel/kernelerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::framework {

namespace {

constexpr auto s_rows = std::to_array<ErrorRow<KernelError>>({
    {KernelError::MissingService, "service_missing", "a module needs a service that none exports", FailureKind::Internal},
    {KernelError::DuplicateService, "service_duplicate", "two modules export the same service", FailureKind::Internal},
    {KernelError::WrongServiceType, "service_type", "a service is of another type than asked for", FailureKind::Internal},
    {KernelError::DependencyCycle, "service_cycle", "modules need each other in a circle", FailureKind::Internal},
});

} // namespace

auto make_error_code(KernelError error) -> std::error_code
{
    static const auto category = EnumCategory<KernelError>("kernel", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::framework
