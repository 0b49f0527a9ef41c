#include "serving/requesthandler.h"

#include "framework/global/digest.h"
#include "framework/logging/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using framework::Async;
using framework::Json;
using framework::LogLevel;
using framework::Milliseconds;
using programs::BudgetOutcome;
using routing::RequestKind;
using scheduling::EndReason;

/// How long a running program waits for its account's rate limit: a refused call would end the program, and the work done
/// for it would be lost.
constexpr auto s_limitWaitTimeout = Milliseconds(700);
/// Of routes for which the operator states none.
constexpr auto s_defaultTimeout = Milliseconds(60'000);

constexpr auto s_limitPollInterval = Milliseconds(10);

} // namespace

RequestHandler::RequestHandler(ServingContext& context, CallerRequest request, IResponseWriter& response)
    : m_context(context)
    , m_request(std::move(request))
    , m_response(response)
    , m_routes(context.fleetState.routes())
    , m_cancellation(std::make_shared<framework::Cancellation>())
    , m_timer(context.executor)
{}

auto RequestHandler::run() -> Async<void>
{
    auto refusal = admit();
    if (!refusal) {
        startDeadline();
        refusal = checkShutdown();
    }
    if (!refusal) {
        watchCaller();
        co_await determinePhase();
        refusal = co_await applyRateLimit();
    }
    if (!refusal) {
        refusal = checkCapacity();
    }
    if (!refusal && isTurn()) {
        refusal = co_await prepareTurn();
    }
    if (!refusal) {
        refusal = co_await serve();
    }
    m_timer.cancel();
    settleBudget();
    if (!refusal) {
        co_return;
    }
    if (m_isAdmitted && !m_mayHaveRun) {
        m_context.limiter.giveBack(m_account, m_context.clock.now());
    }
    logEnd(framework::nameOf(s_refusalNames, *refusal), statusOf(*refusal));
    if (!m_interruption->hasCallerDisconnected) {
        co_await m_response.sendRefusal(*refusal, retryAfter(*refusal));
    }
}

auto RequestHandler::admit() -> std::optional<Refusal>
{
    const auto authorization = authorize(m_routes, m_request);
    m_route = authorization.route;
    m_account = authorization.account;
    if (authorization.refusal) {
        return authorization.refusal;
    }
    if (m_request.id.empty()) {
        return Refusal::NoRequestId;
    }
    if (m_request.lastEventId && m_route->kind != RequestKind::ResumableStream) {
        return Refusal::NotResumable;
    }
    if (m_route->kind == RequestKind::ResumableStream) {
        m_continuation.emplace(m_request.lastEventId);
    }
    if (m_route->keepsTurns) {
        m_history = programs::TurnHistory::KeptByHosts;
        if (const auto refusal = checkStorable()) {
            return refusal;
        }
    } else if (routing::isStream(m_route->kind) && m_request.turn.hasBudget && !m_request.turn.program.empty()) {
        m_history = programs::TurnHistory::SentByCaller;
    }
    const auto seed = framework::hash64(m_request.turn.program.empty() ? m_request.id : m_request.turn.program);
    const auto& turn = m_request.turn;
    m_requirements.chain = !turn.line.empty() ? turn.line : turn.program.empty() ? m_request.id : turn.program;
    m_service = m_routes->service(routing::RouteTable::chooseService(*m_route, seed));
    if (m_service == nullptr) {
        return Refusal::NoServer;
    }
    return m_history == programs::TurnHistory::KeptByHosts ? std::nullopt : checkCrashes();
}

auto RequestHandler::checkCrashes() -> std::optional<Refusal>
{
    m_fingerprint = scheduling::fingerprintOf(m_account, m_request.target, m_request.body);
    return m_context.crashes.isBlocked(m_fingerprint, m_context.clock.now()) ? std::optional(Refusal::Quarantined) : std::nullopt;
}

auto RequestHandler::checkStorable() const -> std::optional<Refusal>
{
    const auto& turn = m_request.turn;
    const auto ids = {std::string_view(m_request.id), std::string_view(turn.program), std::string_view(turn.previousTurn)};
    if (!std::ranges::all_of(ids, programs::isStorableId)) {
        return Refusal::BadTurnId;
    }
    return m_request.body.size() > programs::s_maxInputBytes ? std::optional(Refusal::TurnTooLarge) : std::nullopt;
}

auto RequestHandler::checkShutdown() const -> std::optional<Refusal>
{
    return m_context.shutdown.mayAccept(m_deadline) ? std::nullopt : std::optional(Refusal::Stopping);
}

auto RequestHandler::mayBegin() const -> bool
{
    return m_mayHaveRun || m_response.hasStarted() || !checkShutdown();
}

auto RequestHandler::applyRateLimit() -> Async<std::optional<Refusal>>
{
    if (m_account.empty()) {
        co_return std::nullopt;
    }
    const auto startedAt = m_context.clock.now();
    const auto timeout =
        m_phase == accounts::ProgramPhase::InProgress ? std::min(s_limitWaitTimeout, remainingTime() / 3) : Milliseconds(0);
    while (!m_context.limiter.admit(m_account, m_phase, m_context.clock.now())) {
        const auto wait = m_context.limiter.timeToNext(m_account, m_phase, m_context.clock.now());
        if (m_context.clock.now() + wait > startedAt + timeout || m_interruption->hasCallerDisconnected) {
            co_return Refusal::RateLimited;
        }
        auto pause = asio::steady_timer(m_context.executor, std::max(wait, s_limitPollInterval));
        co_await pause.async_wait(asio::use_awaitable);
    }
    m_isAdmitted = true;
    if (m_context.clock.now() != startedAt) {
        recordPhase("limit", startedAt);
    }
    co_return std::nullopt;
}

auto RequestHandler::checkCapacity() -> std::optional<Refusal>
{
    if (!isTurn() || m_phase != accounts::ProgramPhase::Starting) {
        return std::nullopt;
    }
    const auto now = m_context.clock.now();
    if (m_context.isIsolated() && m_context.admission.isFirstRequest(m_request.turn.program, now)) {
        return Refusal::Isolated;
    }
    if (m_context.overloadControl == OverloadControl::ByPrograms) {
        return admitProgram();
    }
    const auto servers = usableServers();
    return m_context.admission.mayBegin(servers, m_route->priority, now) ? std::nullopt : std::optional(Refusal::ServersFull);
}

auto RequestHandler::admitProgram() -> std::optional<Refusal>
{
    const auto now = m_context.clock.now();
    const auto& program = m_request.turn.program.empty() ? m_request.id : m_request.turn.program;
    if (m_context.admission.isFirstRequest(program, now)) {
        m_context.overload.recordDemand(*m_route, m_service->name, m_account, now);
    }
    const auto decision = m_context.overload.decide(m_service->name, program, m_account, m_route->priority);
    if (decision.isAdmitted) {
        return std::nullopt;
    }
    m_admissionWait = decision.retryAfter;
    m_admittedShare = decision.share;
    return Refusal::ServersFull;
}

auto RequestHandler::serve() -> Async<std::optional<Refusal>>
{
    for (const auto& part : m_request.turn.promptParts) {
        m_requirements.prompt.push_back({.part = part.id, .tokens = part.tokens});
    }
    auto last = std::optional<AttemptResult>();
    m_context.serverLimits.recordDemand(m_service->name, m_context.clock.now());
    while (remainingTime() > s_minRemainingTime && !m_interruption->hasCallerDisconnected) {
        co_await probeServers();
        const auto backend = mayBegin() ? last ? chooseBackend() : co_await awaitBackend() : nullptr;
        if (!backend && !mayBegin()) {
            co_return Refusal::Stopping;
        }
        if (!backend) {
            break;
        }
        if (m_continuation) {
            m_continuation->beginRun();
            m_request.lastEventId = m_continuation->lastEvent();
        }
        last = co_await attemptOnce(backend);
        recordOutcome(backend, *last);
        const auto isFailure = last->isServerError();
        // A started response has the header of a success, so only a success can complete it.
        const auto fitsResponse = !m_response.hasStarted() || last->isSuccess();
        if (last->outcome == AttemptOutcome::Answered && fitsResponse && !(isFailure && canRetry(*last))) {
            co_await finish(backend, std::move(*last));
            co_return std::nullopt;
        }
        if (!canRetry(*last)) {
            break;
        }
        m_requirements.tried.insert(backend->number);
    }
    co_return endUnserved(last);
}

auto RequestHandler::finish(const BackendPtr& backend, AttemptResult result) -> Async<void>
{
    const auto status = result.head->status();
    if (isTurn() && result.isSuccess()) {
        recordTurnTime();
        recordRunTime();
        if (!co_await commitTurn(backend)) {
            m_ending.note(EndReason::TurnNotStored);
            m_response.abort();
            co_return logEnd("broken_off", status);
        }
    }
    if (const auto rest = m_continuation ? m_continuation->takeRemainder() : std::string(); !rest.empty()) {
        co_await m_response.sendChunk(rest);
    }
    const auto isDelivered =
        m_response.hasStarted() ? co_await m_response.endStream() : co_await m_response.sendWhole(*result.head, std::move(result.body));
    if (!isDelivered) {
        noteEnd(std::nullopt);
    }
    logEnd(isDelivered ? "answered" : "caller_left", status);
}

auto RequestHandler::remainingTime() const -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - m_context.clock.now());
}

auto RequestHandler::watchCaller() -> void
{
    m_response.callerDisconnect().onCancel([interruption = m_interruption, cancellation = m_cancellation, kind = m_route->kind] {
        interruption->hasCallerDisconnected = true;
        if (kind != RequestKind::Once) {
            cancellation->cancel(); // A request of kind Once continues: its caller may only have lost the connection.
        }
    });
}

auto RequestHandler::startDeadline() -> void
{
    const auto timeout = m_route->timeout.count() > 0 ? m_route->timeout : s_defaultTimeout;
    const auto limit = std::min(m_request.deadline.value_or(timeout), timeout);
    m_deadline = m_request.arrivedAt + limit;
    m_timer.expires_at(std::chrono::steady_clock::time_point(m_deadline.time_since_epoch()));
    m_timer.async_wait([interruption = m_interruption, cancellation = m_cancellation](const boost::system::error_code& error) {
        if (!error) {
            interruption->isTimedOut = true;
            cancellation->cancel();
        }
    });
}

auto RequestHandler::recordPhase(const char* phase, framework::Instant startedAt) -> void
{
    m_phases[phase] = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - startedAt).count();
}

auto RequestHandler::logEnd(std::string_view outcome, std::optional<unsigned> status) -> void
{
    const auto took = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_request.arrivedAt);
    m_context.metrics.count("requests", {{"outcome", std::string(outcome)}});
    m_context.metrics.record("request_ms", static_cast<double>(took.count()));
    auto fields = Json{{"request", m_request.id},
                       {"outcome", outcome},
                       {"tookMs", took.count()},
                       {"account", m_account},
                       {"configuration", m_routes ? m_routes->version() : 0}};
    if (status) {
        fields["status"] = *status;
    }
    if (m_route != nullptr) {
        fields["route"] = m_route->name;
        fields["kind"] = framework::nameOf(routing::s_requestKindNames, m_route->kind);
    }
    if (!m_attemptLog.empty()) {
        fields["attempts"] = std::move(m_attemptLog);
    }
    if (!m_request.turn.program.empty()) {
        fields["program"] = m_request.turn.program;
        if (!m_request.turn.previousTurn.empty()) {
            fields["previousTurn"] = m_request.turn.previousTurn;
        }
        if (m_request.turn.hasBudget) {
            fields["budget"] = m_request.turn.budget;
            fields["mostTokens"] = m_request.turn.maxTokens;
        }
    }
    if (m_admittedShare) {
        const auto* admission = m_context.overload.admission(m_service->name);
        fields["admittedShare"] = *m_admittedShare;
        fields["load"] = admission->load().load;
        fields["targetLoad"] = admission->targetLoad();
        fields["stretch"] = admission->load().stretch.average();
    }
    if (!m_phases.empty()) {
        fields["stagesMs"] = m_phases;
    }
    if (!m_commit.empty()) {
        fields["commit"] = m_commit;
        fields["events"] = m_events.events();
    }
    if (m_interruption->hasCallerDisconnected) {
        fields["callerLeft"] = true;
    }
    if (m_response.hasStarted()) {
        const auto reason = framework::nameOf(scheduling::s_endReasonNames, m_ending.reason());
        fields["endedBy"] = reason;
        m_context.metrics.count("answers_ended", {{"reason", std::string(reason)}});
    }
    framework::logEvent(status.value_or(0) >= 500 ? LogLevel::Warning : LogLevel::Info, "serving", "request_ended", std::move(fields));
}

} // namespace laburnummill::serving
