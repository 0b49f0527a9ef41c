#include "backends/backendtypes.h"

#include "framework/global/nametable.h"

namespace laburnummill::backends {

namespace {

constexpr auto s_ranNames = framework::NameTable<Ran, 3>{{
    {Ran::No, "no"},
    {Ran::Unknown, "unknown"},
    {Ran::Yes, "yes"},
}};

} // namespace

auto ranName(Ran ran) -> std::string_view
{
    return framework::nameOf(s_ranNames, ran);
}

auto ranFromName(std::string_view name) -> std::optional<Ran>
{
    return framework::valueOf(s_ranNames, name);
}

} // namespace laburnummill::backends
