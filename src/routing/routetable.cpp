#include "routing/routetable.h"

#include <algorithm>

namespace laburnummill::routing {

RouteTable::RouteTable(FleetConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes) {
        m_routesByHost[route.hostName].push_back(&route);
    }
    for (auto& [host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, std::ranges::greater{}, [](const Route* route) { return route->prefix.size(); });
    }
    for (const auto& account : m_configuration.accounts) {
        for (const auto& key : account.keys) {
            m_accountsByKey.emplace(key, &account);
        }
    }
}

auto RouteTable::find(std::string_view hostName, std::string_view path) const -> const Route*
{
    const auto routes = m_routesByHost.find(std::string(hostName));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(routes->second, [path](const Route* route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

auto RouteTable::accountOfKey(std::string_view key) const -> const AccountSpec*
{
    const auto found = m_accountsByKey.find(std::string(key));
    return found == m_accountsByKey.end() ? nullptr : found->second;
}

auto RouteTable::account(std::string_view name) const -> const AccountSpec*
{
    const auto found = std::ranges::find(m_configuration.accounts, name, &AccountSpec::name);
    return found == m_configuration.accounts.end() ? nullptr : &*found;
}

auto RouteTable::service(std::string_view name) const -> const ServiceSpec*
{
    const auto found = std::ranges::find(m_configuration.services, name, &ServiceSpec::name);
    return found == m_configuration.services.end() ? nullptr : &*found;
}

auto RouteTable::chooseService(const Route& route, std::uint64_t seed) -> std::string_view
{
    constexpr auto steps = 1'000'000;
    auto total = 0.0;
    for (const auto& entry : route.services) {
        total += entry.weight;
    }
    auto point = total * static_cast<double>(seed % steps) / steps;
    for (const auto& entry : route.services) {
        if (point < entry.weight) {
            return entry.service;
        }
        point -= entry.weight;
    }
    return route.services.empty() ? std::string_view() : std::string_view(route.services.back().service);
}

} // namespace laburnummill::routing
