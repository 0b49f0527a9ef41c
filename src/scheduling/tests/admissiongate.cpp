#include "admissiongate.h"

#include "framework/global/digest.h"

namespace laburnummill::testing {

namespace {

auto accountHash(const std::string& account) -> std::uint32_t
{
    return static_cast<std::uint32_t>(framework::hash64(account));
}

} // namespace

AdmissionGate::AdmissionGate(const ProgramFleetPlan& plan, int lowestPriority)
    : m_plan(plan)
    , m_lowestPriority(lowestPriority)
    , m_hosts(plan.hosts)
{}

auto AdmissionGate::admit(std::size_t host, const ProgramFleet::Program& program, framework::Instant now)
    -> std::optional<framework::Milliseconds>
{
    const auto& kind = m_plan.kinds[program.kind];
    const auto account = accountHash(program.account);
    if (program.retriesLeft > 0) {
        m_hosts[host].demands.add(account, kind.turns, now);
    }
    const auto decision = m_hosts[host].admission.decide(program.id, account, kind.priority);
    return decision.isAdmitted ? std::nullopt : std::optional(decision.retryAfter);
}

auto AdmissionGate::turnEnded(std::size_t host, const ProgramFleet::Program& program, double tookMs, double idleMs, framework::Instant now)
    -> void
{
    static_cast<void>(program);
    m_hosts[host].stretches.record(tookMs, idleMs, now);
}

auto AdmissionGate::exchange(std::size_t host, const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> void
{
    auto& self = m_hosts[host];
    self.reported = self.stretches.current(now);
    self.reportedDemands = self.demands.current(now);
    auto load = scheduling::ServiceLoad();
    auto slots = 0.0;
    for (const auto& server : servers) {
        load.load += server->running + (self.isCutOff ? 0 : server->runningRemotely);
        slots += server->entry.slots;
    }
    load.load /= slots;
    auto demands = scheduling::AccountDemands();
    for (const auto& other : m_hosts) {
        if (&other != &self && self.isCutOff) {
            continue;
        }
        load.stretch += other.reported;
        for (const auto& [account, demand] : other.reportedDemands) {
            demands[account] += demand;
        }
    }
    self.admission.setDemands(std::move(demands));
    self.admission.update(load, m_lowestPriority, now);
}

} // namespace laburnummill::testing
