#pragma once

#include "backends/backendregistry.h"
#include "framework/metrics/metrics.h"
#include "peers/peertable.h"
#include "scheduling/limitshares.h"

#include <map>
#include <string>

namespace laburnummill::serving {

/// This host's view of the request rates that backend servers state: exchanges statements and demand with the other hosts and keeps
/// this host's shares. Performs no I/O.
class ServerLimits
{
public:
    ServerLimits(std::string ownAddress, backends::BackendRegistry& backends, framework::Metrics& metrics)
        : m_ownAddress(std::move(ownAddress))
        , m_backends(backends)
        , m_metrics(metrics)
    {}

    /// Records that a request needs a server of `service`.
    auto recordDemand(const std::string& service, framework::Instant now) -> void { m_demands[service].add(now); }

    /// Sets this host's share of the limit of each of `servers`, all of one service.
    auto applyShares(const std::string& service, const std::vector<backends::BackendPtr>& servers, framework::Instant now) const -> void;

    /// Takes the latest reports of the other hosts and splits the limits anew.
    auto update(const peers::PeerTable& peers, framework::Instant now) -> void;

    /// Adds what this host reports to the others.
    auto addTo(peers::messages::Heartbeat& heartbeat, framework::Instant now) const -> void;

    /// Requests of this host that wait for a token of any server of `service`.
    auto waiting(const std::string& service) -> int& { return m_waiting[service]; }

private:
    struct LimitedService
    {
        scheduling::LimitShares shares;
        framework::Instant loggedAt{};
    };

    auto recordReports(const peers::PeerTable& peers, framework::Instant now) -> void;
    auto splitLimits(const std::string& service, const peers::PeerTable& peers, framework::Instant now) -> void;
    auto logSplit(const std::string& service, LimitedService& limited, const std::vector<peers::RemoteDemand>& demands,
                  framework::Instant now) -> void;

    std::string m_ownAddress;
    backends::BackendRegistry& m_backends;
    framework::Metrics& m_metrics;
    std::map<std::string, scheduling::EventRate> m_demands; ///< by service
    std::map<std::string, LimitedService> m_limited;        ///< services with a server whose limit holds
    std::map<std::string, int> m_waiting;                   ///< by service
};

} // namespace laburnummill::serving
