#pragma once

#include "scheduling/programadmission.h"
#include "testing/simulation/programfleet.h"

namespace laburnummill::testing {

/// Admission of programs on the hosts of a model fleet, which exchange stretches and demands with their heartbeats.
class AdmissionGate final : public ProgramFleet::IGate
{
public:
    AdmissionGate(const ProgramFleetPlan& plan, int lowestPriority);

    auto admit(std::size_t host, const ProgramFleet::Program& program, framework::Instant now)
        -> std::optional<framework::Milliseconds> override;
    auto turnEnded(std::size_t host, const ProgramFleet::Program& program, double tookMs, double idleMs, framework::Instant now)
        -> void override;
    auto exchange(std::size_t host, const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> void override;

    /// The host no longer receives reports.
    auto cutOff(std::size_t host) -> void { m_hosts[host].isCutOff = true; }
    auto restart(std::size_t host) -> void { m_hosts[host] = Host(); }
    auto at(std::size_t host) const -> const scheduling::ProgramAdmission& { return m_hosts[host].admission; }

private:
    struct Host
    {
        scheduling::ProgramAdmission admission;
        scheduling::RecentStretches stretches;
        scheduling::StretchSum reported;
        scheduling::DemandTracker demands;
        scheduling::AccountDemands reportedDemands;
        bool isCutOff = false;
    };

    const ProgramFleetPlan m_plan;
    int m_lowestPriority;
    std::vector<Host> m_hosts;
};

} // namespace laburnummill::testing
