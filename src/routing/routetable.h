#pragma once

#include "routing/routingtypes.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace laburnummill::routing {

/// One configuration prepared for lookups; immutable, shared by the requests that began under it.
class RouteTable
{
public:
    explicit RouteTable(FleetConfiguration configuration);

    auto version() const -> std::int64_t { return m_configuration.version; }
    auto configuration() const -> const FleetConfiguration& { return m_configuration; }

    /// The route of `hostName` with the longest prefix that begins `path`; null where there is none.
    auto find(std::string_view hostName, std::string_view path) const -> const Route*;

    /// The client account that holds `key`; null where no account does.
    auto accountOfKey(std::string_view key) const -> const AccountSpec*;

    auto account(std::string_view name) const -> const AccountSpec*;
    auto service(std::string_view name) const -> const ServiceSpec*;

    /// The route's service for one request; equal `seed`s choose the same one while the weights stay.
    static auto chooseService(const Route& route, std::uint64_t seed) -> std::string_view;

private:
    FleetConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost; ///< longest prefix first
    std::unordered_map<std::string, const AccountSpec*> m_accountsByKey;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace laburnummill::routing
