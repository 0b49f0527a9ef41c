#include "serving/rolloutcontrol.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using framework::Instant;
using framework::LogLevel;
using framework::Milliseconds;
using rollouts::RolloutProgress;
using rollouts::RolloutReason;
using rollouts::RolloutStage;

/// A response that takes this much longer than the usual is bad. Bad versions are several times slower.
constexpr auto s_slowFactor = 2.5;

/// Servers that have just started are slow for some seconds.
constexpr auto s_warmUp = Milliseconds(3'000);

/// As s_standInDelay; a version that is bad must not wait for a home host that has failed.
constexpr auto s_rollBackDelay = Milliseconds(300);

/// Hosts update every 0.2 to 1.5 s.
constexpr auto s_longestUpdateInterval = Milliseconds(3'000);

auto isInProgress(const std::optional<RolloutProgress>& progress) -> bool
{
    return progress && !rollouts::isFinal(progress->stage);
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
    if (rollout == m_rollouts.end() && !m_areRolloutsOffered) {
        return servers;
    }
    auto& filter = rollout != m_rollouts.end() ? rollout->second.filter : m_filters[service];
    if (!filter.servingVersion()) {
        observeServers(service, filter);
    }
    return filter.allowed(servers, chain, isRetry);
}

auto RolloutControl::observeServers(const std::string& service, rollouts::VersionFilter& filter) -> void
{
    auto servers = std::vector<BackendPtr>();
    for (const auto& [id, server] : m_fleetState.backends().all()) {
        if (server->entry.service == service) {
            servers.push_back(server);
        }
    }
    filter.observe(servers, m_clock.now());
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

auto RolloutControl::rolloutOf(const std::string& service) -> Rollout&
{
    auto& rollout = m_rollouts[service];
    if (const auto filter = m_filters.find(service); filter != m_filters.end()) {
        rollout.filter = std::move(filter->second);
        m_filters.erase(filter);
    }
    return rollout;
}

auto RolloutControl::applyOrders() -> void
{
    const auto& orders = m_fleetState.rolloutOrders();
    for (const auto& [service, order] : orders) {
        const auto found = m_rollouts.find(service);
        if (order.isWithdrawn || (found != m_rollouts.end() && found->second.isWriting)) {
            continue;
        }
        auto& rollout = rolloutOf(service);
        const auto refusedOrder = rollout.progress ? rollout.progress->refusedOrder : 0;
        if (order.number <= std::max(rollout.order.number, refusedOrder)) {
            continue;
        }
        if (!isInProgress(rollout.progress)) {
            begin(service, rollout, order);
        } else if (!rollout.isWithdrawn && isDue(service, rollout.refusalDueSince, s_standInDelay)) {
            auto next = *rollout.progress;
            next.refusedOrder = order.number;
            next.refusedVersion = order.version;
            rollout.isWriting = true;
            framework::spawnTask(m_executor, "write", write(service, std::move(next)));
        }
    }
    for (auto& [service, rollout] : m_rollouts) {
        // A copy of the operator's rows that is older than the order does not tell whether it was withdrawn.
        const auto order = orders.find(service);
        rollout.isWithdrawn =
            rollout.isWithdrawn || (order == orders.end() ? m_fleetState.operatorTable().version() > rollout.order.number
                                                          : order->second.isWithdrawn && order->second.number > rollout.order.number);
    }
}

auto RolloutControl::begin(const std::string& service, Rollout& rollout, const rollouts::RolloutOrder& order) -> void
{
    const auto now = m_clock.now();
    observeServers(service, rollout.filter);
    rollout = Rollout{.order = order,
                      .progress = std::nullopt,
                      .newestRowVersion = rollout.newestRowVersion,
                      .filter = std::move(rollout.filter),
                      .evidence = {},
                      .counts = {}};
    rollout.orderedAt = now;
    rollout.stageSince = now;
    rollout.oldVersionBusyAt = now;
    // Until the state is known the new version gets nothing.
    rollout.filter.setProgress({.order = order.number, .version = order.version, .formerVersion = rollout.filter.servingVersion()}, now);
    framework::logEvent(LogLevel::Info, "rollouts", "order_received",
                        {{"service", service}, {"version", order.version}, {"durationMs", order.duration.count()}});
    rollout.isWriting = true;
    framework::spawnTask(m_executor, "read_row", readRow(service));
}

auto RolloutControl::adopt(const std::string& service, Rollout& rollout, const RolloutProgress& progress, std::string_view source) -> void
{
    if (progress.rowVersion <= rollout.newestRowVersion) {
        return;
    }
    const auto now = m_clock.now();
    rollout.newestRowVersion = progress.rowVersion;
    if (!rollout.progress && progress.order < rollout.order.number && rollouts::isFinal(progress.stage) &&
        progress.refusedOrder < rollout.order.number) {
        rollout.filter.setServingVersion(progress, now); // An earlier rollout, which has ended.
        return;
    }
    const auto isOtherOrder = progress.order != rollout.order.number;
    if (progress.refusedOrder > (rollout.progress && !isOtherOrder ? rollout.progress->refusedOrder : 0)) {
        framework::logEvent(LogLevel::Warning, "rollouts", "order_refused",
                            {{"service", service}, {"version", progress.refusedVersion}, {"inProgress", progress.version}});
    }
    const auto isNewStage = isOtherOrder || !rollout.progress || rollout.progress->stage != progress.stage;
    if (isOtherOrder) {
        rollout.order = {.service = service, .version = progress.version, .duration = progress.duration, .number = progress.order};
        rollout.evidence = {};
        rollout.counts.clear();
        rollout.isWithdrawn = false;
        rollout.orderedAt = now;
    }
    if (!rollout.progress && progress.stage != RolloutStage::Waiting) {
        // This host was started in the middle of the rollout.
        const auto age = Milliseconds(framework::unixMilliseconds(m_clock.wallTime()) - progress.startedAt);
        rollout.orderedAt = std::min(rollout.orderedAt, now - std::clamp(age, Milliseconds(0), progress.duration));
    }
    rollout.progress = progress;
    rollout.changeDueSince = {};
    rollout.refusalDueSince = {};
    if (rollout.evidence.verdict() == rollouts::EvidenceVerdict::Bad && !rollouts::isFinal(progress.stage)) {
        stopNewVersion(rollout); // Another host has advanced the rollout before it had the evidence.
    } else {
        rollout.filter.setProgress(progress, now);
    }
    setGauges(service, rollout);
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

auto RolloutControl::stopNewVersion(Rollout& rollout) -> void
{
    auto stopped = *rollout.progress;
    stopped.stage = RolloutStage::RolledBack;
    rollout.filter.setProgress(stopped, m_clock.now());
}

auto RolloutControl::mayOldVersionBeUsed(const std::string& service, const Rollout& rollout, const peers::PeerTable& peers) const -> bool
{
    const auto now = m_clock.now();
    for (const auto& [id, server] : m_fleetState.backends().all()) {
        if (server->entry.service == service && server->entry.version != rollout.order.version &&
            server->running + server->runningRemotely > 0) {
            return true;
        }
    }
    const auto hash = peers::backendHash(service);
    return peers.isAnyKnown([&](const peers::Peer& peer) {
        if (peer.lastHeartbeatAt == Instant{}) {
            return false; // Known by its address only, which may be out of date.
        }
        if (peers.reachablePeer(peer.address, now) == nullptr) {
            return !peer.last.is_leaving();
        }
        return std::ranges::none_of(peer.last.rollouts(), [&](const auto& report) {
            return report.service() == hash && report.order() == rollout.order.number && report.row_version() > 0 &&
                   report.stage() >= static_cast<std::uint32_t>(RolloutStage::Full);
        });
    });
}

auto RolloutControl::viewOf(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> rollouts::RolloutView
{
    const auto now = m_clock.now();
    // After a freeze of this host its knowledge of the others is out of date.
    const auto wasFrozen = now > m_updatedAt + s_longestUpdateInterval;
    if (wasFrozen || mayOldVersionBeUsed(service, rollout, peers)) {
        rollout.oldVersionBusyAt = now;
    }
    auto newServers = 0;
    for (const auto& server : m_fleetState.backends().available(service)) {
        newServers += server->entry.version == rollout.order.version && !server->isCold(now) ? 1 : 0;
    }
    return {.stage = rollout.progress->stage,
            .sinceOrder = elapsed(rollout.orderedAt, now),
            .sinceStage = elapsed(rollout.stageSince, now),
            .duration = rollout.order.duration,
            .isServiceKnown = !m_fleetState.routes() || m_fleetState.routes()->service(service) != nullptr,
            .isWithdrawn = rollout.isWithdrawn,
            .isAlreadyServing =
                rollout.progress->stage == RolloutStage::Waiting && rollout.filter.servingVersion() == rollout.order.version,
            .newServers = newServers,
            .verdict = rollout.evidence.verdict(),
            .newResponses = rollout.evidence.newResponses(),
            .oldVersionIdleFor = elapsed(rollout.oldVersionBusyAt, now)};
}

auto RolloutControl::update(const peers::PeerTable& peers) -> void
{
    if (m_areRolloutsOffered && !m_areRowsRead && !m_isReadingRows) {
        m_isReadingRows = true;
        framework::spawnTask(m_executor, "read_all_rows", readAllRows());
    }
    if (m_areRolloutsOffered && m_fleetState.routes()) {
        for (const auto& service : m_fleetState.routes()->configuration().services) {
            if (!m_rollouts.contains(service.name)) {
                observeServers(service.name, m_filters[service.name]);
            }
        }
    }
    applyOrders();
    for (auto& [service, rollout] : m_rollouts) {
        observeServers(service, rollout.filter);
        takeReports(service, rollout, peers);
        if (rollout.order.number == 0 || (rollout.progress && rollouts::isFinal(rollout.progress->stage))) {
            continue;
        }
        rollout.evidence.evaluate(m_clock.now());
        setGauges(service, rollout);
        if (!rollout.progress) {
            // The home host may have failed before it wrote the first state.
            if (!rollout.isWriting && isDue(service, rollout.changeDueSince, s_standInDelay)) {
                rollout.isWriting = true;
                framework::spawnTask(m_executor, "read_row", readRow(service));
            }
            continue;
        }
        advance(service, rollout, peers);
    }
    m_updatedAt = m_clock.now();
}

auto RolloutControl::advance(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> void
{
    const auto change = rollouts::nextStage(viewOf(service, rollout, peers));
    if (!change) {
        rollout.changeDueSince = {};
        return;
    }
    auto next = *rollout.progress;
    next.stage = change->stage;
    next.reason = change->reason;
    if (!next.formerVersion) {
        next.formerVersion = rollout.filter.servingVersion();
    }
    if (next.stage == RolloutStage::RolledBack) {
        stopNewVersion(rollout); // This host's requests stop at once, whether the store can be reached or not.
    }
    const auto delay = next.stage == RolloutStage::RolledBack ? s_rollBackDelay : s_standInDelay;
    if (isDue(service, rollout.changeDueSince, delay) && !rollout.isWriting) {
        rollout.isWriting = true;
        framework::spawnTask(m_executor, "write", write(service, std::move(next)));
    }
}

auto RolloutControl::isDue(const std::string& service, Instant& dueSince, Milliseconds delay) const -> bool
{
    const auto now = m_clock.now();
    if (dueSince == Instant{}) {
        dueSince = now;
    }
    return m_peers.home(service) == m_peers.ownAddress() || now >= dueSince + delay;
}

auto RolloutControl::setGauges(const std::string& service, const Rollout& rollout) const -> void
{
    const auto labels = framework::Labels{{"service", service}};
    m_metrics.setGauge("rollout_share", rollout.progress ? rollouts::shareOf(rollout.progress->stage) : 0, labels);
    m_metrics.setGauge("rollout_responses", static_cast<double>(rollout.evidence.newResponses()), labels);
    m_metrics.setGauge("rollout_bad_responses", static_cast<double>(rollout.evidence.newBad()), labels);
}

} // namespace laburnummill::serving
