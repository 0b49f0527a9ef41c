#pragma once

#include <system_error>

namespace laburnummill::framework {

/// Failures of putting a daemon together.
enum class KernelError
{
    MissingService = 1,
    DuplicateService,
    WrongServiceType,
    DependencyCycle,
};

auto make_error_code(KernelError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::framework

template<>
struct std::is_error_code_enum<laburnummill::framework::KernelError> : std::true_type
{};
