#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace laburnummill::scheduling {

/// A host that may send requests to the servers of a service.
struct HostDemand
{
    std::uint64_t host = 0;          ///< hash of its address
    std::optional<double> perSecond; ///< requests for the service that it recently received; nullopt if it has not reported that
};

/// Splits the rates that the servers of one service accept from all hosts together into a rate for each host. All hosts compute the
/// same shares from the same reports, without asking each other; reports that differ by their age change the sum of the shares little.
///
/// A host sends whole requests, and one that has sent none for a while may send one at any time. For a server with a low limit
/// the sum of these over a large fleet would exceed the limit many times, so that such a server gets its requests from a group of
/// hosts only. The groups of a service's servers are spread evenly over the hosts. Within a group the shares follow the demand.
class LimitShares
{
public:
    LimitShares() = default;

    /// `hosts` includes `ownHost`; `servers` are hashes of all servers of the service.
    LimitShares(std::uint64_t ownHost, std::vector<HostDemand> hosts, std::vector<std::uint64_t> servers);

    /// This host's share of the rate `perSecond` that `server` accepts, in requests per second; 0 if the server is left to other hosts.
    auto shareOf(std::uint64_t server, double perSecond) const -> double;

    auto hosts() const -> std::size_t { return m_hosts.size(); }

private:
    struct WeightedHost
    {
        std::uint64_t host = 0;
        double weight = 1;
    };

    auto groupSize(double perSecond) const -> std::size_t;

    std::size_t m_ownPosition = 0;
    std::vector<WeightedHost> m_hosts; ///< in the order of their hashes
    std::vector<std::uint64_t> m_servers;
};

/// Rate of events, averaged over the last seconds.
class EventRate
{
public:
    auto add(framework::Instant now) -> void;
    auto perSecond(framework::Instant now) const -> double;

private:
    double m_perSecond = 0; ///< at m_updatedAt
    framework::Instant m_updatedAt{};
};

} // namespace laburnummill::scheduling
