#pragma once

#include "backends/backendregistry.h"
#include "framework/metrics/metrics.h"
#include "peers/peertable.h"
#include "routing/routetable.h"
#include "scheduling/programadmission.h"

#include <map>
#include <string>

namespace laburnummill::serving {

/// A turn that a backend server has completed.
struct EndedTurn
{
    double tookMs = 0;       ///< from its arrival at this host
    double firstEventMs = 0; ///< from sending it to the server
    double eventMs = 0;      ///< average time between two events; 0 if there was only one
    int events = 0;
};

/// This host's view of the load of the services with programs: exchanges stretches and demands with the other hosts and decides on new
/// programs. Performs no I/O.
class OverloadMonitor
{
public:
    OverloadMonitor(backends::BackendRegistry& backends, framework::Metrics& metrics)
        : m_backends(backends)
        , m_metrics(metrics)
    {}

    /// Records that `account` asks for a new program on `route`; retries of it are not recorded.
    auto recordDemand(const routing::Route& route, const std::string& service, const std::string& account, framework::Instant now) -> void;

    auto recordTurn(const routing::Route& route, const std::string& service, const EndedTurn& turn, framework::Instant now) -> void;

    auto decide(const std::string& service, std::string_view program, const std::string& account, int priority) const
        -> scheduling::AdmissionDecision;

    /// The admission of a service; null if no program of it was seen.
    auto admission(const std::string& service) const -> const scheduling::ProgramAdmission*;

    /// Takes the latest reports of the other hosts and steers the admission of all services.
    auto update(const peers::PeerTable& peers, framework::Instant now) -> void;

    /// Adds what this host reports to the others.
    auto addTo(peers::messages::Heartbeat& heartbeat, framework::Instant now) -> void;

private:
    /// Counts of a route, for the work of an average program.
    struct RouteWork
    {
        double programs = 0;
        double turns = 0;
    };

    struct Service
    {
        scheduling::ProgramAdmission admission;
        scheduling::IdleTurnTimes idleTimes;
        scheduling::RecentStretches stretches;
        scheduling::DemandTracker demands;
        int lowestPriority = 0;
        framework::Instant loggedAt{};
    };

    auto updateService(const std::string& name, Service& service, const peers::PeerTable& peers, framework::Instant now) -> void;
    auto logShare(const std::string& name, Service& service, framework::Instant now) -> void;

    backends::BackendRegistry& m_backends;
    framework::Metrics& m_metrics;
    std::map<std::string, Service> m_services;
    std::map<std::string, RouteWork> m_routes;
};

} // namespace laburnummill::serving
