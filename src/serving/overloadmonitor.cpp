#include "serving/overloadmonitor.h"

#include "framework/logging/log.h"
#include "scheduling/admission.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Interval at which the admission of a service is logged while it refuses programs.
constexpr auto s_logInterval = Milliseconds(1'000);

/// Presumed number of turns of a program before some were counted, and its weight in the average, in programs.
constexpr auto s_presumedTurns = 5.0;
constexpr auto s_presumedPrograms = 5.0;

/// Counts are halved at this number of programs, so that the average follows the traffic.
constexpr auto s_maxCountedPrograms = 100.0;

} // namespace

auto OverloadMonitor::recordDemand(const routing::Route& route, const std::string& service, const std::string& account, Instant now) -> void
{
    auto& work = m_routes[route.name];
    const auto turns = (work.turns + s_presumedTurns * s_presumedPrograms) / (work.programs + s_presumedPrograms);
    if (++work.programs > s_maxCountedPrograms) {
        work.programs /= 2;
        work.turns /= 2;
    }
    auto& load = m_services[service];
    load.lowestPriority = std::max(load.lowestPriority, route.priority);
    load.demands.add(peers::backendHash(account), turns, now);
}

auto OverloadMonitor::recordTurn(const routing::Route& route, const std::string& service, const EndedTurn& turn, Instant now) -> void
{
    m_routes[route.name].turns += 1;
    auto& load = m_services[service];
    load.idleTimes.record(turn.firstEventMs, turn.eventMs);
    load.stretches.record(turn.tookMs, std::max(load.idleTimes.expected(turn.events), 1.0), now);
}

auto OverloadMonitor::decide(const std::string& service, std::string_view program, const std::string& account, int priority) const
    -> scheduling::AdmissionDecision
{
    const auto* found = admission(service);
    return found == nullptr ? scheduling::AdmissionDecision() : found->decide(program, peers::backendHash(account), priority);
}

auto OverloadMonitor::admission(const std::string& service) const -> const scheduling::ProgramAdmission*
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.admission;
}

auto OverloadMonitor::update(const peers::PeerTable& peers, Instant now) -> void
{
    for (auto& [name, service] : m_services) {
        updateService(name, service, peers, now);
    }
}

auto OverloadMonitor::updateService(const std::string& name, Service& service, const peers::PeerTable& peers, Instant now) -> void
{
    const auto hash = peers::backendHash(name);
    auto load =
        scheduling::ServiceLoad{.load = scheduling::loadOf(m_backends.available(name), now), .stretch = service.stretches.current(now)};
    auto demands = service.demands.current(now);
    for (const auto* peer : peers.reachablePeers(now)) {
        for (const auto& report : peer->last.service_programs()) {
            if (report.service() != hash) {
                continue;
            }
            load.stretch += {.tookMs = static_cast<double>(report.took_ms()), .idleMs = static_cast<double>(report.idle_ms())};
            for (const auto& demand : report.demands()) {
                demands[demand.account()] += demand.permille() / peers::s_permille;
            }
        }
    }
    service.admission.setDemands(std::move(demands));
    service.admission.update(load, service.lowestPriority, now);
    m_metrics.setGauge("admitted_share", service.admission.share(service.lowestPriority), {{"service", name}});
    m_metrics.setGauge("turn_stretch", load.stretch.average(), {{"service", name}});
    m_metrics.setGauge("load_target", service.admission.targetLoad(), {{"service", name}});
    logShare(name, service, now);
}

auto OverloadMonitor::logShare(const std::string& name, Service& service, Instant now) -> void
{
    const auto& admission = service.admission;
    if (!admission.isSelective() || now < service.loggedAt + s_logInterval) {
        return;
    }
    service.loggedAt = now;
    framework::logEvent(framework::LogLevel::Info, "serving", "programs_refused_in_part",
                        {{"service", name},
                         {"shareOfMostUrgent", admission.share(0)},
                         {"shareOfLeastUrgent", admission.share(service.lowestPriority)},
                         {"load", admission.load().load},
                         {"targetLoad", admission.targetLoad()},
                         {"stretch", admission.load().stretch.average()},
                         {"stretchOverMs", admission.load().stretch.idleMs}});
}

auto OverloadMonitor::addTo(peers::messages::Heartbeat& heartbeat, Instant now) -> void
{
    const auto permille = [](double value) { return static_cast<std::uint32_t>(value * peers::s_permille); };
    for (auto& [name, service] : m_services) {
        const auto stretch = service.stretches.current(now);
        const auto demands = service.demands.current(now);
        if (stretch.idleMs < 1 && demands.empty()) {
            continue;
        }
        auto* report = heartbeat.add_service_programs();
        report->set_service(peers::backendHash(name));
        report->set_took_ms(static_cast<std::uint32_t>(stretch.tookMs));
        report->set_idle_ms(static_cast<std::uint32_t>(stretch.idleMs));
        for (const auto& [account, demand] : demands) {
            auto* reported = report->add_demands();
            reported->set_account(account);
            reported->set_permille(permille(demand));
        }
    }
}

} // namespace laburnummill::serving
