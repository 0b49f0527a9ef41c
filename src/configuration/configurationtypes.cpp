#include "configuration/configurationtypes.h"

#include "framework/global/nametable.h"

#include <algorithm>

namespace laburnummill::configuration {

namespace {

constexpr auto s_routeKindNames = framework::NameTable<RouteKind, 2>{{
    {RouteKind::Model, "model"},
    {RouteKind::Plain, "plain"},
}};

template<class Item>
auto findByName(const std::vector<Item>& items, std::string_view name) -> const Item*
{
    const auto found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

auto routeKindName(RouteKind kind) -> std::string_view
{
    return framework::nameOf(s_routeKindNames, kind);
}

auto routeKindFromName(std::string_view name) -> std::optional<RouteKind>
{
    return framework::valueOf(s_routeKindNames, name);
}

auto policyPreset(std::string_view name) -> PolicySettings
{
    auto policy = PolicySettings();
    if (name == "podlozhka") {
        policy.fairness = 1;
        policy.queuePerSlot = 64;
    } else if (name == "piedmont") {
        policy.fairness = 0.3;
    }
    return policy;
}

auto Configuration::route(std::string_view name) const -> const Route*
{
    return findByName(routes, name);
}

auto Configuration::clientAccount(std::string_view name) const -> const ClientAccount*
{
    return findByName(clientAccounts, name);
}

auto Configuration::dataCentre(std::string_view name) const -> const DataCentre*
{
    return findByName(dataCentres, name);
}

auto Configuration::backendServer(std::string_view name) const -> const BackendServer*
{
    return findByName(backendServers, name);
}

} // namespace laburnummill::configuration
