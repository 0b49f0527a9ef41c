#include "serving/requesthandler.h"

#include "peers/heartbeatschedule.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// Attempts of a request at backend servers.

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using backends::ServerOutcome;
using framework::Async;
using framework::Milliseconds;
using routing::RequestKind;

/// How long a request waits if no server is available: servers usually recover within about one second, and callers retry
/// only once or twice.
constexpr auto s_serverWaitTimeout = Milliseconds(800);
constexpr auto s_serverPollInterval = Milliseconds(40);

/// The first bytes from a healthy server arrive within a small multiple of the average latency. A response that takes longer,
/// or longer than the default if no average is known, may never arrive.
constexpr auto s_overdueFactor = 6.0;
constexpr auto s_minOverdueTimeout = Milliseconds(250);
constexpr auto s_defaultOverdueTimeout = Milliseconds(1'000);

/// A stream's first event may be late by this factor of the latency objective before it counts as overdue.
constexpr auto s_lateStartFactor = 3;

/// Engines pause a stream for longer than its longest punctual interval while they read long prompts of others. Callers abandon
/// a stream after two seconds or more.
constexpr auto s_stallFactor = 4;
constexpr auto s_minStallTimeout = Milliseconds(500);

/// Outcome of an attempt that was abandoned because another server may answer sooner. The attempt may also have ended by itself
/// at the same moment; its outcome is then unchanged.
auto outcomeOfAbandoned(AttemptOutcome outcome) -> AttemptOutcome
{
    switch (outcome) {
    case AttemptOutcome::Cancelled:
        return AttemptOutcome::Overdue;
    case AttemptOutcome::CancelledUnsent:
        return AttemptOutcome::NotSent;
    default:
        return outcome;
    }
}

} // namespace

auto RequestHandler::awaitBackend() -> Async<BackendPtr>
{
    const auto waitUntil = m_context.clock.now() + std::min(s_serverWaitTimeout, remainingTime() - s_minRemainingTime);
    if (const auto backend = chooseBackend()) {
        co_return backend;
    }
    if (m_limitWait && *m_limitWait > waitUntil - m_context.clock.now()) {
        co_return nullptr;
    }
    const auto startedAt = m_context.clock.now();
    auto found = BackendPtr();
    m_probed.clear();
    ++m_context.serverLimits.waiting(m_service->name);
    while (!found && mayBegin() && m_context.clock.now() < waitUntil && !m_interruption->hasCallerDisconnected &&
           !m_context.fleetState.backends().areAllLeaving(m_service->name)) {
        auto pause = asio::steady_timer(m_context.executor, s_serverPollInterval);
        co_await pause.async_wait(asio::use_awaitable);
        found = mayBegin() ? chooseBackend() : nullptr;
    }
    --m_context.serverLimits.waiting(m_service->name);
    recordPhase("server", startedAt);
    co_return found;
}

auto RequestHandler::usableServers() const -> std::vector<BackendPtr>
{
    const auto servers = m_context.fleetState.backends().available(m_service->name);
    return m_context.rollouts.allowed(m_service->name, servers, m_requirements.chain, m_attempts > 0);
}

auto RequestHandler::choiceSettings() const -> scheduling::ChoiceSettings
{
    const auto hosts = m_context.fleetSize();
    auto settings = scheduling::ChoiceSettings{.ownDataCentre = m_context.dataCentre,
                                               .coldRequestsPerSecond = m_service->coldRequestsPerSecond,
                                               .hosts = hosts,
                                               .reportInterval = peers::heartbeatInterval(hosts)};
    if (m_service->engine && m_context.overloadControl == OverloadControl::ByPrograms) {
        settings.rule = scheduling::PlacementRule::ExpectedFinish;
    }
    return settings;
}

auto RequestHandler::probeServers() -> Async<void>
{
    m_probed.clear();
    const auto startedAt = m_context.clock.now();
    auto asked = std::vector<BackendPtr>();
    while (!m_service->healthPath.empty()) {
        const auto servers = usableServers();
        const auto settings = choiceSettings();
        if (settings.rule != scheduling::PlacementRule::ExpectedFinish) {
            co_return;
        }
        m_context.serverLimits.applyShares(m_service->name, servers, m_context.clock.now());
        const auto next = m_context.choice.serversToProbe(servers, asked, m_requirements, settings, m_context.clock.now());
        if (next.empty()) {
            break;
        }
        asked.insert(asked.end(), next.begin(), next.end());
        const auto answered = co_await m_context.loadProbes.ask(next, m_service->healthPath);
        m_probed.insert(m_probed.end(), answered.begin(), answered.end());
    }
    if (!asked.empty()) {
        recordPhase("probe", startedAt);
    }
}

auto RequestHandler::chooseBackend() -> BackendPtr
{
    auto servers = usableServers();
    std::erase_if(m_probed, [&servers](const BackendPtr& probed) { return std::ranges::find(servers, probed) == servers.end(); });
    if (!m_probed.empty()) {
        servers = m_probed;
    }
    if (!m_isKeptFromLeavingServer && m_context.fleetState.backends().isAnyLeaving(m_service->name)) {
        m_isKeptFromLeavingServer = true;
        m_context.metrics.count("requests_kept_from_leaving_servers");
    }
    const auto settings = choiceSettings();
    const auto now = m_context.clock.now();
    m_context.serverLimits.applyShares(m_service->name, servers, now);
    m_limitWait = std::nullopt;
    auto backend = m_context.choice.choose(servers, m_requirements, settings, now);
    if (backend) {
        m_context.choice.started(backend, m_requirements, settings, now);
    } else if (!servers.empty()) {
        m_limitWait = m_context.choice.limitWait(servers, m_requirements, m_context.serverLimits.waiting(m_service->name), now);
    }
    return backend;
}

auto RequestHandler::attemptOnce(const BackendPtr& backend) -> Async<AttemptResult>
{
    const auto isProbed = std::ranges::find(m_probed, backend) != m_probed.end();
    const auto stated = backend->load.latest(m_context.clock.now());
    ++backend->running;
    const auto target = BackendTarget{.instance = backend->entry.id, .account = m_account, .remainingTime = remainingTime()};
    const auto startedAt = m_context.clock.now();
    m_attemptStartedAt = startedAt;
    m_eventsBeforeAttempt = m_events.events();
    m_progressDeadline = startedAt + overdueTimeout();
    m_awaited.emplace(backend, m_progressDeadline);
    const auto cancellation = std::make_shared<framework::Cancellation>();
    m_cancellation->onCancel([cancellation] { cancellation->cancel(); });
    const auto watch = std::make_shared<AttemptWatch>(m_context.executor, cancellation);
    watchProgress(watch);
    auto result = co_await m_context.backendClient.attempt(backend, m_request, target, routing::isStream(m_route->kind) ? this : nullptr,
                                                           cancellation);
    watch->isFinished = true;
    watch->timer.cancel();
    m_awaited.reset();
    if (watch->isAbandoned && !m_cancellation->cancelled()) {
        result.outcome = outcomeOfAbandoned(result.outcome);
    }
    --backend->running;
    if (result.outcome != AttemptOutcome::NotSent && result.outcome != AttemptOutcome::CancelledUnsent) {
        ++m_attempts;
    }
    const auto isSurelyNotRun = result.outcome == AttemptOutcome::NotSent || result.outcome == AttemptOutcome::NotRun ||
                                result.outcome == AttemptOutcome::Misdirected || result.outcome == AttemptOutcome::CancelledUnsent;
    m_mayHaveRun = m_mayHaveRun || !isSurelyNotRun;
    const auto took = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - startedAt);
    logAttempt(*backend, result, took, isProbed ? stated : std::nullopt);
    co_return result;
}

auto RequestHandler::logAttempt(const backends::Backend& backend, const AttemptResult& result, Milliseconds took,
                                const std::optional<backends::DatedLoadStatement>& stated) -> void
{
    auto entry = framework::Json{{"server", backend.entry.id},        {"end", framework::nameOf(s_attemptOutcomeNames, result.outcome)},
                                 {"toHeadMs", result.toHead.count()}, {"tookMs", took.count()},
                                 {"running", backend.running},        {"elsewhere", backend.runningRemotely}};
    if (result.head) {
        entry["status"] = result.head->status();
    }
    if (result.headFault) {
        const auto rule = std::string(framework::nameOf(framework::s_headFaultNames, *result.headFault));
        entry["headFault"] = rule;
        entry["head"] = result.headExcerpt;
        m_context.metrics.count("invalid_response_heads", {{"rule", rule}});
    }
    if (stated) {
        entry["stated"] = stated->load.running + stated->load.waiting;
    }
    if (result.framing) {
        entry["framing"] = framework::nameOf(s_responseFramingNames, *result.framing);
    }
    if (result.metadata.limitPerSecond) {
        entry["limitPerSecond"] = *result.metadata.limitPerSecond;
        m_context.metrics.count("answers_with_server_limit");
    }
    if (result.isRelayed) {
        entry["relayed"] = true;
    }
    if (result.fault != AttemptFault::None) {
        entry["fault"] = framework::nameOf(s_attemptFaultNames, result.fault);
        entry["error"] = result.error.message();
        m_context.metrics.count("attempts_failed", {{"fault", std::string(framework::nameOf(s_attemptFaultNames, result.fault))}});
    }
    if (result.isTooLarge) {
        entry["tooLarge"] = true;
    }
    if (result.isHostFull) {
        entry["hostFull"] = true;
    }
    if (endedInsideEvent()) {
        entry["insideEvent"] = true;
    }
    if (m_continuation && m_request.lastEventId) {
        entry["after"] = *m_request.lastEventId;
    }
    if (m_continuation && m_continuation->fault()) {
        entry["continuation"] = framework::nameOf(s_continuationFaultNames, *m_continuation->fault());
    }
    m_attemptLog.push_back(std::move(entry));
}

auto RequestHandler::endedInsideEvent() const -> bool
{
    return m_continuation ? m_continuation->isInsideEvent() : !m_events.isBetweenEvents();
}

auto RequestHandler::watchProgress(std::shared_ptr<AttemptWatch> watch) -> void
{
    watch->timer.expires_at(std::chrono::steady_clock::time_point(m_progressDeadline.time_since_epoch()));
    watch->timer.async_wait([this, watch](const boost::system::error_code& error) {
        if (error || watch->isFinished) {
            return;
        }
        const auto now = m_context.clock.now();
        if (now >= m_progressDeadline && canTryOtherServer()) {
            watch->isAbandoned = true;
            watch->cancellation->cancel();
            return;
        }
        if (now >= m_progressDeadline) {
            m_progressDeadline = now + stallTimeout(); // Another server may be free by then.
        }
        watchProgress(watch);
    });
}

auto RequestHandler::overdueTimeout() const -> Milliseconds
{
    const auto isStream = routing::isStream(m_route->kind);
    const auto average = m_context.latencies.average(isStream ? firstEventLatencyKind() : m_route->name);
    if (!average) {
        return s_defaultOverdueTimeout;
    }
    const auto least = isStream ? std::max(s_minOverdueTimeout, m_route->latencyObjective * s_lateStartFactor) : s_minOverdueTimeout;
    return std::max(least, Milliseconds(static_cast<std::int64_t>(*average * s_overdueFactor)));
}

auto RequestHandler::stallTimeout() const -> Milliseconds
{
    return std::max(s_minStallTimeout, m_route->maxEventInterval * s_stallFactor);
}

auto RequestHandler::canTryOtherServer() const -> bool
{
    if (!routing::mayRunAgain(m_route->kind) || m_attempts + 1 >= m_route->maxAttempts) {
        return false;
    }
    // If all servers are overdue, another attempt would only increase their load.
    const auto servers = usableServers();
    return scheduling::hasResponsiveServer(servers, m_requirements, m_context.clock.now());
}

auto RequestHandler::slownessOf(const AttemptResult& result) -> double
{
    if (!routing::isStream(m_route->kind)) {
        return m_context.latencies.record(m_route->name, static_cast<double>(result.toHead.count()));
    }
    const auto events = m_events.events() - m_eventsBeforeAttempt;
    if (events <= 1) {
        return 0;
    }
    const auto span = std::chrono::duration<double, std::milli>(m_lastEventAt - m_firstEventAt).count();
    return m_context.latencies.record(m_route->name, span / (events - 1));
}

auto RequestHandler::recordTurnTime() -> void
{
    using FractionalMs = std::chrono::duration<double, std::milli>;
    const auto events = m_events.events() - m_eventsBeforeAttempt;
    if (m_context.overloadControl != OverloadControl::ByPrograms || events < 1 || m_firstEventAt < m_attemptStartedAt) {
        return;
    }
    const auto now = m_context.clock.now();
    const auto turn = EndedTurn{.tookMs = FractionalMs(now - m_request.arrivedAt).count(),
                                .firstEventMs = FractionalMs(m_firstEventAt - m_attemptStartedAt).count(),
                                .eventMs = events > 1 ? FractionalMs(m_lastEventAt - m_firstEventAt).count() / (events - 1) : 0,
                                .events = m_events.events()};
    m_context.overload.recordTurn(*m_route, m_service->name, turn, now);
}

auto RequestHandler::recordRunTime() -> void
{
    if (m_firstEventAt < m_attemptStartedAt) {
        return; // It had no events.
    }
    m_context.latencies.record(runTimeKind(), std::chrono::duration<double, std::milli>(m_lastEventAt - m_attemptStartedAt).count());
}

auto RequestHandler::recordOutcome(const BackendPtr& backend, const AttemptResult& result) -> void
{
    const auto now = m_context.clock.now();
    if (result.metadata.load) {
        backend->reportedWaiting = result.metadata.load->waiting;
        backend->reportedAt = now;
    }
    if (result.isHostFull) {
        return; // It says nothing about the server.
    }
    switch (result.outcome) {
    case AttemptOutcome::Answered: {
        const auto isFailure = result.isServerError();
        const auto slowness = isFailure ? 0 : slownessOf(result);
        backend->health.record(isFailure ? ServerOutcome::Broken : ServerOutcome::Answered, slowness, now);
        m_context.rollouts.recordResponse(*backend, m_route->name, isFailure, slowness);
        m_context.crashes.recordAnswer(m_fingerprint, now);
        return;
    }
    case AttemptOutcome::NotRun:
        backend->health.record(ServerOutcome::Refused, 0, now);
        return;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Misdirected:
        backend->health.record(ServerOutcome::Unreachable, 0, now);
        return;
    case AttemptOutcome::Lost:
    case AttemptOutcome::Truncated:
        backend->health.record(ServerOutcome::Broken, 0, now);
        m_context.rollouts.recordResponse(*backend, m_route->name, true, 0);
        m_context.crashes.recordCrash(m_fingerprint, peers::backendHash(backend->entry.id), now);
        return;
    case AttemptOutcome::Overdue:
        backend->health.record(ServerOutcome::TimedOut, 0, now);
        m_context.rollouts.recordResponse(*backend, m_route->name, true, 0);
        return;
    case AttemptOutcome::Cancelled:
        if (m_interruption->isTimedOut) {
            m_context.rollouts.recordResponse(*backend, m_route->name, true, 0);
        }
        if (m_interruption->isTimedOut && !m_response.hasStarted()) {
            backend->health.record(ServerOutcome::TimedOut, 0, now);
        }
        return;
    case AttemptOutcome::CancelledUnsent:
        return;
    }
}

} // namespace laburnummill::serving
