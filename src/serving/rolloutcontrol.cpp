#include "serving/rolloutcontrol.h"

#include "framework/global/json.h"
#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using framework::Async;
using framework::Instant;
using framework::Json;
using framework::LogLevel;
using framework::Milliseconds;
using rollouts::RolloutProgress;
using rollouts::RolloutReason;
using rollouts::RolloutStage;

const auto s_table = std::string("rollouts");

/// A response that takes this much longer than the usual is bad. Bad versions are several times slower.
constexpr auto s_slowFactor = 2.5;

/// Servers that have just started are slow for some seconds.
constexpr auto s_warmUp = Milliseconds(3'000);

/// Time after which another host than the home host acts. A version that is bad must not wait for a home host that has failed.
constexpr auto s_standInDelay = Milliseconds(1'200);
constexpr auto s_rollBackDelay = Milliseconds(300);

auto rowOf(const std::string& service) -> store::RowAddress
{
    return {.table = s_table, .partition = {}, .key = service};
}

auto encode(const RolloutProgress& progress) -> std::string
{
    return framework::dumpJson({{"order", progress.order},
                                {"version", progress.version},
                                {"stage", framework::nameOf(rollouts::s_rolloutStageNames, progress.stage)},
                                {"reason", framework::nameOf(rollouts::s_rolloutReasonNames, progress.reason)}});
}

auto decode(const store::Row& row) -> std::optional<RolloutProgress>
{
    const auto document = framework::parseJson(row.value);
    const auto stage = document ? framework::valueOf(rollouts::s_rolloutStageNames, framework::stringAt(*document, "stage")) : std::nullopt;
    const auto reason =
        document ? framework::valueOf(rollouts::s_rolloutReasonNames, framework::stringAt(*document, "reason")) : std::nullopt;
    if (!stage || !reason) {
        return std::nullopt;
    }
    return RolloutProgress{.order = static_cast<std::uint64_t>(framework::integerAt(*document, "order")),
                           .version = framework::stringAt(*document, "version"),
                           .stage = *stage,
                           .reason = *reason,
                           .rowVersion = row.version};
}

auto elapsed(Instant from, Instant to) -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

} // namespace

RolloutControl::RolloutControl(asio::any_io_executor executor, FleetState& fleetState, const IRowDecoder& rows, store::IStore& store,
                               const peers::IPeers& peers, const framework::IClock& clock, framework::Metrics& metrics,
                               bool areRolloutsOffered)
    : m_executor(std::move(executor))
    , m_fleetState(fleetState)
    , m_rows(rows)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_areRolloutsOffered(areRolloutsOffered)
{}

auto RolloutControl::allowed(const std::string& service, const std::vector<BackendPtr>& servers, std::string_view chain, bool isRetry)
    -> std::vector<BackendPtr>
{
    const auto rollout = m_rollouts.find(service);
    if (rollout != m_rollouts.end()) {
        return rollout->second.filter.allowed(servers, chain, isRetry, m_clock.now());
    }
    if (!m_areRolloutsOffered) {
        return servers;
    }
    auto& filter = m_filters[service];
    filter.observe(servers, m_clock.now());
    return filter.allowed(servers, chain, isRetry, m_clock.now());
}

auto RolloutControl::recordResponse(const backends::Backend& server, std::string_view route, bool isFailure, double slowness) -> void
{
    const auto found = m_rollouts.find(server.entry.service);
    if (found == m_rollouts.end() || !found->second.progress || rollouts::isFinal(found->second.progress->stage)) {
        return;
    }
    auto& rollout = found->second;
    const auto age = framework::unixMilliseconds(m_clock.wallTime()) - server.entry.startedAt;
    const auto isSlow = slowness > s_slowFactor && age > s_warmUp.count();
    auto& counts = rollout.counts[peers::backendHash(route)];
    auto& ofVersion = server.entry.version == rollout.order.version ? counts.newVersion : counts.oldVersion;
    rollouts::countResponse(ofVersion, server.entry.id, isFailure || isSlow);
}

auto RolloutControl::applyOrders() -> void
{
    const auto now = m_clock.now();
    for (const auto& [service, order] : m_fleetState.rolloutOrders()) {
        if (order.version.empty() && !m_rollouts.contains(service)) {
            continue;
        }
        auto& rollout = m_rollouts[service];
        rollout.isWithdrawn = order.version.empty();
        const auto isInProgress = rollout.order.number != 0 && (!rollout.progress || !rollouts::isFinal(rollout.progress->stage));
        if (rollout.isWithdrawn || order.number <= rollout.order.number) {
            continue;
        }
        if (isInProgress) {
            if (order.version != rollout.order.version && order.version != rollout.refusedVersion) {
                rollout.refusedVersion = order.version;
                framework::logEvent(LogLevel::Warning, "rollouts", "order_refused",
                                    {{"service", service}, {"version", order.version}, {"inProgress", rollout.order.version}});
            }
            continue;
        }
        const auto filter = m_filters.find(service);
        auto former = filter == m_filters.end() ? rollout.filter : filter->second;
        rollout = Rollout{.order = order, .progress = std::nullopt, .filter = std::move(former), .evidence = {}, .counts = {}};
        rollout.orderedAt = now;
        rollout.stageSince = now;
        rollout.oldVersionBusyAt = now;
        // Until the state is known the new version gets nothing.
        rollout.filter.setProgress({.order = order.number, .version = order.version}, now);
        framework::logEvent(LogLevel::Info, "rollouts", "order_received",
                            {{"service", service}, {"version", order.version}, {"durationMs", order.duration.count()}});
        rollout.isWriting = true;
        asio::co_spawn(m_executor, readRow(service), asio::detached);
    }
}

auto RolloutControl::takeReports(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> void
{
    const auto hash = peers::backendHash(service);
    for (const auto* peer : peers.reachablePeers(m_clock.now())) {
        for (const auto& report : peer->last.rollouts()) {
            if (report.service() != hash || report.order() != rollout.order.number) {
                continue;
            }
            if (report.row_version() > 0) {
                adopt(service, rollout,
                      {.order = report.order(),
                       .version = rollout.order.version,
                       .stage = static_cast<RolloutStage>(report.stage()),
                       .reason = static_cast<RolloutReason>(report.reason()),
                       .rowVersion = report.row_version()},
                      "peer");
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

auto RolloutControl::adopt(const std::string& service, Rollout& rollout, const RolloutProgress& progress, std::string_view source) -> void
{
    if (progress.order != rollout.order.number || (rollout.progress && progress.rowVersion <= rollout.progress->rowVersion)) {
        return;
    }
    const auto now = m_clock.now();
    const auto isNewStage = !rollout.progress || rollout.progress->stage != progress.stage;
    rollout.progress = progress;
    rollout.filter.setProgress(progress, now);
    rollout.changeDueSince = {};
    if (!isNewStage) {
        return;
    }
    rollout.stageSince = now;
    rollout.oldVersionBusyAt = now;
    framework::logEvent(LogLevel::Info, "rollouts", "stage",
                        {{"service", service},
                         {"version", progress.version},
                         {"stage", framework::nameOf(rollouts::s_rolloutStageNames, progress.stage)},
                         {"reason", framework::nameOf(rollouts::s_rolloutReasonNames, progress.reason)},
                         {"source", source},
                         {"sinceOrderMs", elapsed(rollout.orderedAt, now).count()},
                         {"newResponses", rollout.evidence.newResponses()},
                         {"newBad", rollout.evidence.newBad()}});
}

auto RolloutControl::viewOf(const std::string& service, Rollout& rollout) -> rollouts::RolloutView
{
    const auto now = m_clock.now();
    const auto servers = m_fleetState.backends().available(service);
    rollout.filter.observe(servers, now);
    auto newServers = 0;
    for (const auto& [id, server] : m_fleetState.backends().all()) {
        if (server->entry.service == service && server->entry.version != rollout.order.version &&
            server->running + server->runningRemotely > 0) {
            rollout.oldVersionBusyAt = now;
        }
    }
    for (const auto& server : servers) {
        newServers += server->entry.version == rollout.order.version && !server->isCold(now) ? 1 : 0;
    }
    return {.stage = rollout.progress->stage,
            .sinceOrder = elapsed(rollout.orderedAt, now),
            .sinceStage = elapsed(rollout.stageSince, now),
            .duration = rollout.order.duration,
            .isServiceKnown = !m_fleetState.routes() || m_fleetState.routes()->service(service) != nullptr,
            .isWithdrawn = rollout.isWithdrawn,
            .newServers = newServers,
            .verdict = rollout.evidence.verdict(),
            .newResponses = rollout.evidence.newResponses(),
            .oldVersionIdleFor = elapsed(rollout.oldVersionBusyAt, now)};
}

auto RolloutControl::update(const peers::PeerTable& peers) -> void
{
    applyOrders();
    for (auto& [service, rollout] : m_rollouts) {
        takeReports(service, rollout, peers);
        if (rollout.progress && rollouts::isFinal(rollout.progress->stage)) {
            continue;
        }
        rollout.evidence.evaluate(m_clock.now());
        setGauges(service, rollout);
        if (!rollout.progress) {
            // The home host may have failed before it wrote the first state.
            if (!rollout.isWriting && isDue(service, rollout, RolloutStage::Waiting)) {
                rollout.isWriting = true;
                asio::co_spawn(m_executor, readRow(service), asio::detached);
            }
            continue;
        }
        advance(service, rollout);
    }
}

auto RolloutControl::advance(const std::string& service, Rollout& rollout) -> void
{
    const auto change = rollouts::nextStage(viewOf(service, rollout));
    if (!change) {
        rollout.changeDueSince = {};
        return;
    }
    auto next = *rollout.progress;
    next.stage = change->stage;
    next.reason = change->reason;
    if (next.stage == RolloutStage::RolledBack) {
        rollout.filter.setProgress(next, m_clock.now()); // This host's requests stop at once, whether the store can be reached or not.
    }
    if (!rollout.isWriting && isDue(service, rollout, next.stage)) {
        rollout.isWriting = true;
        asio::co_spawn(m_executor, write(service, next), asio::detached);
    }
}

auto RolloutControl::isDue(const std::string& service, Rollout& rollout, RolloutStage next) -> bool
{
    const auto now = m_clock.now();
    if (rollout.changeDueSince == Instant{}) {
        rollout.changeDueSince = now;
    }
    const auto isHome = m_peers.home(service) == m_peers.ownAddress();
    const auto delay = next == RolloutStage::RolledBack ? s_rollBackDelay : s_standInDelay;
    return isHome || now >= rollout.changeDueSince + delay;
}

auto RolloutControl::readRow(std::string service) -> Async<void>
{
    const auto address = rowOf(service);
    const auto page = co_await m_store.list(
        {.table = address.table, .partition = address.partition, .from = address.key, .to = address.key + '!', .limit = 1});
    auto& rollout = m_rollouts[service];
    rollout.isWriting = false;
    if (!page || rollout.progress) {
        co_return;
    }
    const auto found = page.value().rows.empty() ? std::nullopt : decode(page.value().rows.front());
    if (found && found->order == rollout.order.number) {
        adopt(service, rollout, *found, "store");
        co_return;
    }
    if (isDue(service, rollout, RolloutStage::Waiting)) {
        rollout.isWriting = true;
        const auto rowVersion = page.value().rows.empty() ? store::s_absentRow : page.value().rows.front().version;
        co_await write(service, {.order = rollout.order.number,
                                 .version = rollout.order.version,
                                 .stage = RolloutStage::Waiting,
                                 .reason = RolloutReason::Ordered,
                                 .rowVersion = rowVersion});
    }
}

auto RolloutControl::write(std::string service, RolloutProgress next) -> Async<void>
{
    const auto address = rowOf(service);
    auto transaction = store::Transaction();
    transaction.conditions.push_back({.address = address, .version = next.rowVersion});
    transaction.puts.push_back({.address = address, .value = encode(next)});
    transaction.puts.push_back(m_rows.rolloutStatus({.service = service,
                                                     .version = next.version,
                                                     .stage = next.stage,
                                                     .reason = next.reason,
                                                     .refusedVersion = m_rollouts[service].refusedVersion}));
    const auto reply = co_await m_store.transact(std::move(transaction));
    auto& rollout = m_rollouts[service];
    rollout.isWriting = false;
    if (!reply) {
        m_metrics.count("rollout_writes_failed");
        co_return; // The next update tries again; a write of unknown outcome then fails on its condition.
    }
    if (reply.value().isApplied) {
        next.rowVersion = reply.value().version;
        adopt(service, rollout, next, "own");
        co_return;
    }
    const auto& rows = reply.value().currentRows;
    const auto current = rows.empty() ? std::nullopt : decode(rows.front());
    if (current) {
        adopt(service, rollout, *current, "store");
    }
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

auto RolloutControl::setGauges(const std::string& service, const Rollout& rollout) const -> void
{
    const auto labels = framework::Labels{{"service", service}};
    m_metrics.setGauge("rollout_share", rollout.progress ? rollouts::shareOf(rollout.progress->stage) : 0, labels);
    m_metrics.setGauge("rollout_responses", static_cast<double>(rollout.evidence.newResponses()), labels);
    m_metrics.setGauge("rollout_bad_responses", static_cast<double>(rollout.evidence.newBad()), labels);
}

} // namespace laburnummill::serving
