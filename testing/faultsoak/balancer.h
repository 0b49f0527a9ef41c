#pragma once

#include "soakfleet.h"

#include <cstdint>
#include <vector>

namespace laburnummill::testing {

/// Which hosts a load balancer sends callers to, from the results of its health probes.
class Rotation
{
public:
    /// Host `n` belongs to data centre `n % dataCentres`; all hosts are in rotation.
    Rotation(int hosts, int dataCentres);

    auto probed(int host, bool isReady) -> void;

    /// The host for a new connection of a data centre's caller, by a random number. All hosts of the data centre are used once fewer
    /// than half of them are in rotation.
    auto hostFor(int dataCentre, std::uint64_t random) const -> int;

private:
    int m_dataCentres;
    std::vector<int> m_misses; ///< in a row, by host
};

/// Probes the hosts of a fleet once a second.
class Balancer
{
public:
    Balancer(asio::io_context& context, SoakFleet& fleet);

    auto start() -> void;
    auto hostFor(int dataCentre, std::uint64_t random) const -> int { return m_rotation.hostFor(dataCentre, random); }

private:
    auto probe(int host) -> asio::awaitable<void>;

    asio::io_context& m_context;
    SoakFleet& m_fleet;
    Rotation m_rotation;
};

} // namespace laburnummill::testing
