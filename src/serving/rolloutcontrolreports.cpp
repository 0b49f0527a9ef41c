#include "serving/rolloutcontrol.h"

#include <algorithm>

// What hosts report to each other of rollouts.

namespace laburnummill::serving {

namespace {

using framework::Milliseconds;
using rollouts::RolloutReason;
using rollouts::RolloutStage;

} // namespace

auto RolloutControl::takeReports(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> void
{
    const auto hash = peers::backendHash(service);
    for (const auto* peer : peers.reachablePeers(m_clock.now())) {
        for (const auto& report : peer->last.rollouts()) {
            if (report.service() != hash) {
                continue;
            }
            if (report.row_version() > 0 && report.stage() < rollouts::s_rolloutStageNames.size()) {
                adopt(service, rollout,
                      {.order = report.order(),
                       .version = report.version(),
                       .stage = static_cast<RolloutStage>(report.stage()),
                       .reason = static_cast<RolloutReason>(report.reason()),
                       .rowVersion = report.row_version(),
                       .formerVersion = report.has_former_version() ? std::optional(report.former_version()) : std::nullopt,
                       .duration = Milliseconds(report.duration_ms()),
                       .startedAt = report.started_at(),
                       .refusedOrder = report.refused_order(),
                       .refusedVersion = report.refused_version()},
                      "peer");
            }
            if (report.order() != rollout.order.number) {
                continue;
            }
            auto counts = rollouts::OutcomeCounts();
            for (const auto& outcomes : report.outcomes()) {
                auto& ofVersion = outcomes.is_new_version() ? counts[outcomes.route()].newVersion : counts[outcomes.route()].oldVersion;
                const auto groups = std::min({outcomes.responses_size(), outcomes.bad_size(), static_cast<int>(rollouts::s_serverGroups)});
                for (auto group = 0; group < groups; ++group) {
                    ofVersion[static_cast<std::size_t>(group)] = {.responses = outcomes.responses(group), .bad = outcomes.bad(group)};
                }
            }
            rollout.evidence.record(peer->address, peer->last.incarnation(), counts);
        }
    }
    rollout.evidence.record(m_peers.ownAddress(), m_peers.ownIncarnation(), rollout.counts);
}

auto RolloutControl::addTo(peers::messages::Heartbeat& heartbeat) const -> void
{
    for (const auto& [service, rollout] : m_rollouts) {
        if (rollout.order.number == 0) {
            continue;
        }
        auto* report = heartbeat.add_rollouts();
        report->set_service(peers::backendHash(service));
        report->set_order(rollout.order.number);
        if (rollout.progress) {
            report->set_stage(static_cast<std::uint32_t>(rollout.progress->stage));
            report->set_reason(static_cast<std::uint32_t>(rollout.progress->reason));
            report->set_row_version(rollout.progress->rowVersion);
            report->set_version(rollout.progress->version);
            if (rollout.progress->formerVersion) {
                report->set_former_version(*rollout.progress->formerVersion);
            }
            report->set_duration_ms(static_cast<std::uint32_t>(rollout.progress->duration.count()));
            report->set_started_at(rollout.progress->startedAt);
            report->set_refused_order(rollout.progress->refusedOrder);
            report->set_refused_version(rollout.progress->refusedVersion);
        }
        if (rollout.progress && rollouts::isFinal(rollout.progress->stage)) {
            continue;
        }
        for (const auto& [route, counts] : rollout.counts) {
            for (const auto isNew : {true, false}) {
                const auto& ofVersion = isNew ? counts.newVersion : counts.oldVersion;
                if (std::ranges::all_of(ofVersion, [](const auto& group) { return group.responses == 0; })) {
                    continue;
                }
                auto* outcomes = report->add_outcomes();
                outcomes->set_route(route);
                outcomes->set_is_new_version(isNew);
                for (const auto& group : ofVersion) {
                    outcomes->add_responses(group.responses);
                    outcomes->add_bad(group.bad);
                }
            }
        }
    }
}

} // namespace laburnummill::serving
