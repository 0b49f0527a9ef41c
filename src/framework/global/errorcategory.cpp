#include "framework/global/errorcategory.h"

namespace laburnummill::framework {

auto codeOf(const std::error_code& error) -> std::string_view
{
    const auto* category = dynamic_cast<const TypedCategory*>(&error.category());
    return category == nullptr ? "internal" : category->code(error.value());
}

auto kindOf(const std::error_code& error) -> FailureKind
{
    const auto* category = dynamic_cast<const TypedCategory*>(&error.category());
    return category == nullptr ? FailureKind::Internal : category->kind(error.value());
}

} // namespace laburnummill::framework
