#pragma once

#include "routing/routingtypes.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace laburnummill::routing {

/// One configuration prepared for lookups. Immutable; shared by all requests that started while it was active.
class RouteTable
{
public:
    explicit RouteTable(FleetConfiguration configuration);

    auto version() const -> std::int64_t { return m_configuration.version; }
    auto configuration() const -> const FleetConfiguration& { return m_configuration; }

    /// Returns the route of `hostName` with the longest prefix of `path`, or null if there is none.
    auto find(std::string_view hostName, std::string_view path) const -> const Route*;

    /// Returns the client account that `key` belongs to, or null if there is none.
    auto accountOfKey(std::string_view key) const -> const AccountSpec*;

    /// Returns the account with this name, or null if there is none.
    auto account(std::string_view name) const -> const AccountSpec*;

    /// Returns the service with this name, or null if there is none.
    auto service(std::string_view name) const -> const ServiceSpec*;

    /// Selects the route's service for one request by weight. Equal seeds select the same service until the weights change.
    static auto chooseService(const Route& route, std::uint64_t seed) -> std::string_view;

private:
    FleetConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost; ///< longest prefix first
    std::unordered_map<std::string, const AccountSpec*> m_accountsByKey;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace laburnummill::routing
