#include "administration/operatortypes.h"

#include "framework/global/nametable.h"

namespace laburnummill::administration {

namespace {

constexpr auto s_roleNames = framework::NameTable<OperatorRole, 3>{{
    {OperatorRole::Viewer, "viewer"},
    {OperatorRole::Operator, "operator"},
    {OperatorRole::Administrator, "administrator"},
}};

} // namespace

auto roleName(OperatorRole role) -> std::string_view
{
    return framework::nameOf(s_roleNames, role);
}

auto roleFromName(std::string_view name) -> std::optional<OperatorRole>
{
    return framework::valueOf(s_roleNames, name);
}

} // namespace laburnummill::administration
