#include "serving/requestrun.h"

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

/// Less time than this does not reach a backend server and come back.
constexpr auto s_leastTime = Milliseconds(5);

/// A request that finds no server that may take it now waits so long for one: servers come back within a second
/// or so, and callers repeat only once or twice.
constexpr auto s_serverPatience = Milliseconds(800);
constexpr auto s_serverPoll = Milliseconds(40);

/// A program under way waits so long for its account's limit: a refused call would end it, and what was done for it
/// would be lost.
constexpr auto s_limitPatience = Milliseconds(700);
constexpr auto s_limitPoll = Milliseconds(10);

/// When callers should come back: after a place has become free, or another host has taken over.
constexpr auto s_retrySoon = Milliseconds(150);
constexpr auto s_retryLimited = Milliseconds(150);
constexpr auto s_retryLimitedSpread = 500U; // milliseconds
constexpr auto s_retryUnready = Milliseconds(400);

} // namespace

RequestRun::RequestRun(ServingParts& parts, CallerRequest request, IAnswer& answer)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_answer(answer)
    , m_routes(parts.knowledge.routes())
    , m_cancellation(std::make_shared<framework::Cancellation>())
    , m_timer(parts.executor)
{}

auto RequestRun::run() -> Async<void>
{
    auto refusal = admit();
    if (!refusal) {
        startDeadline();
        watchCaller();
        refusal = co_await takeFromLimit();
    }
    if (!refusal) {
        refusal = turnAway();
    }
    if (!refusal && isTurn()) {
        refusal = co_await prepareTurn();
    }
    if (!refusal) {
        refusal = co_await serve();
    }
    m_timer.cancel();
    settleTurn();
    if (!refusal) {
        co_return;
    }
    if (m_isAdmitted && !m_mayHaveRun) {
        m_parts.limiter.giveBack(m_account, m_parts.clock.now());
    }
    logEnd(framework::nameOf(s_refusalNames, *refusal), statusOf(*refusal));
    if (!m_fate->hasCallerLeft) {
        co_await m_answer.refuse(*refusal, retryAfter(*refusal));
    }
}

auto RequestRun::admit() -> std::optional<Refusal>
{
    if (!m_routes) {
        return Refusal::NoConfiguration;
    }
    m_route = m_routes->find(m_request.hostName, m_request.path);
    if (m_route == nullptr) {
        return Refusal::UnknownRoute;
    }
    if (!m_route->isOpen && !m_routes->configuration().accounts.empty()) {
        const auto* account = m_request.key ? m_routes->accountOfKey(*m_request.key) : nullptr;
        if (account == nullptr) {
            return Refusal::UnknownKey;
        }
        m_account = account->name;
    }
    if (m_request.id.empty()) {
        return Refusal::NoRequestId;
    }
    const auto seed = framework::hash64(m_request.turn.program.empty() ? m_request.id : m_request.turn.program);
    m_service = m_routes->service(routing::RouteTable::chooseService(*m_route, seed));
    if (m_service == nullptr) {
        return Refusal::NoServer;
    }
    if (m_parts.quarantine.isHeld(fingerprintOf(m_account, m_request.target, m_request.body), m_parts.clock.now())) {
        return Refusal::Quarantined;
    }
    return std::nullopt;
}

auto RequestRun::stage() const -> accounts::ProgramPhase
{
    const auto begins = isTurn() ? m_request.turn.previousTurn.empty() : m_request.turn.program.empty();
    return begins ? accounts::ProgramPhase::Starting : accounts::ProgramPhase::InProgress;
}

auto RequestRun::takeFromLimit() -> Async<std::optional<Refusal>>
{
    if (m_account.empty()) {
        co_return std::nullopt;
    }
    const auto began = m_parts.clock.now();
    const auto patience = stage() == accounts::ProgramPhase::InProgress ? std::min(s_limitPatience, timeLeft() / 3) : Milliseconds(0);
    while (!m_parts.limiter.admit(m_account, stage(), m_parts.clock.now())) {
        const auto wait = m_parts.limiter.timeToNext(m_account, stage(), m_parts.clock.now());
        if (m_parts.clock.now() + wait > began + patience || m_fate->hasCallerLeft) {
            co_return Refusal::RateLimited;
        }
        auto pause = asio::steady_timer(m_parts.executor, std::max(wait, s_limitPoll));
        co_await pause.async_wait(asio::use_awaitable);
    }
    m_isAdmitted = true;
    if (m_parts.clock.now() != began) {
        noteStage("limit", began);
    }
    co_return std::nullopt;
}

auto RequestRun::turnAway() -> std::optional<Refusal>
{
    if (!isTurn() || stage() != accounts::ProgramPhase::Starting) {
        return std::nullopt;
    }
    const auto now = m_parts.clock.now();
    if (m_parts.isIsolated() && m_parts.admission.isFirstVisit(m_request.turn.program, now)) {
        return Refusal::Isolated;
    }
    const auto servers = m_parts.knowledge.backends().available(m_service->name);
    return m_parts.admission.mayBegin(servers, m_route->priority, now) ? std::nullopt : std::optional(Refusal::ServersFull);
}

auto RequestRun::serve() -> Async<std::optional<Refusal>>
{
    for (const auto& part : m_request.turn.promptParts) {
        m_need.prompt.push_back({.part = part.id, .tokens = part.tokens});
    }
    auto last = std::optional<AttemptResult>();
    const auto patience = m_parts.clock.now() + s_serverPatience;
    while (timeLeft() > s_leastTime && !m_fate->hasCallerLeft) {
        const auto backend = chooseBackend();
        if (!backend) {
            if (last || m_parts.clock.now() >= patience) {
                co_return last ? refusalAfter(last) : Refusal::NoServer;
            }
            auto pause = asio::steady_timer(m_parts.executor, s_serverPoll);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        last = co_await attemptOnce(backend);
        judge(backend, *last);
        if (last->end == AttemptEnd::Answered && !(mayTryAgain(*last) && last->head.result_int() >= 500)) {
            co_await finish(backend, std::move(*last));
            co_return std::nullopt;
        }
        if (m_answer.hasBegun()) {
            m_answer.breakOff();
            logEnd("broken_off", last->head.result_int());
            co_return std::nullopt;
        }
        if (!mayTryAgain(*last)) {
            co_return refusalAfter(last);
        }
        m_need.tried.insert(backend->number);
    }
    co_return refusalAfter(last);
}

auto RequestRun::chooseBackend() -> BackendPtr
{
    const auto servers = m_parts.knowledge.backends().available(m_service->name);
    const auto settings = scheduling::ChoiceSettings{
        .ownDataCentre = m_parts.dataCentre, .coldRequestsPerSecond = m_service->coldRequestsPerSecond, .hosts = m_parts.fleetSize()};
    const auto now = m_parts.clock.now();
    auto backend = m_parts.choice.choose(servers, m_need, settings, now);
    if (backend) {
        m_parts.choice.started(backend, m_need, settings, now);
    }
    return backend;
}

auto RequestRun::mayTryAgain(const AttemptResult& result) const -> bool
{
    if (m_fate->hasCallerLeft || m_fate->isTimedOut || m_attempts >= m_route->maxAttempts) {
        return false;
    }
    switch (result.end) {
    case AttemptEnd::NotSent:
    case AttemptEnd::NotRun:
    case AttemptEnd::OtherServer:
        return true;
    case AttemptEnd::Answered:
    case AttemptEnd::Lost:
    case AttemptEnd::BrokenOff:
    case AttemptEnd::Overdue:
        return m_route->kind == RequestKind::Repeatable;
    case AttemptEnd::Cancelled:
    case AttemptEnd::CancelledUnsent:
        return false;
    }
    return false;
}

auto RequestRun::refusalAfter(const std::optional<AttemptResult>& last) const -> Refusal
{
    if (m_mayHaveRun) {
        return m_fate->isTimedOut || timeLeft() <= s_leastTime ? Refusal::TimedOut : Refusal::Lost;
    }
    if (m_fate->isTimedOut || timeLeft() <= s_leastTime) {
        return Refusal::TimedOutUnsent;
    }
    return last ? Refusal::NotRun : Refusal::NoServer;
}

auto RequestRun::finish(const BackendPtr& backend, AttemptResult result) -> Async<void>
{
    const auto status = result.head.result_int();
    if (isTurn() && status >= 200 && status < 300) {
        co_await commitTurn(backend);
    }
    const auto isDelivered = m_answer.hasBegun() ? co_await m_answer.end() : co_await m_answer.whole(result.head, std::move(result.body));
    logEnd(isDelivered ? "answered" : "caller_left", status);
}

auto RequestRun::retryAfter(Refusal refusal) -> std::optional<Milliseconds>
{
    switch (refusal) {
    case Refusal::RateLimited:
        // Those turned away come back spread out, and not before others that were turned away earlier.
        return std::max(m_parts.limiter.timeToNext(m_account, stage(), m_parts.clock.now()), s_retryLimited) +
               Milliseconds(framework::hash64(m_request.id) % s_retryLimitedSpread);
    case Refusal::NoConfiguration:
    case Refusal::StoreAway:
        return s_retryUnready;
    case Refusal::TurnUnknown:
    case Refusal::BudgetUnknown:
    case Refusal::NoServer:
    case Refusal::NotRun:
    case Refusal::TimedOutUnsent:
    case Refusal::Isolated:
        return s_retrySoon;
    case Refusal::ServersFull:
        return s_retryLimited + Milliseconds(framework::hash64(m_request.id) % s_retryLimitedSpread);
    default:
        return std::nullopt;
    }
}

auto RequestRun::timeLeft() const -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - m_parts.clock.now());
}

auto RequestRun::watchCaller() -> void
{
    m_answer.callerLeft().onCancel([fate = m_fate, cancellation = m_cancellation, kind = m_route->kind] {
        fate->hasCallerLeft = true;
        if (kind != RequestKind::Once) {
            cancellation->cancel(); // What must run once goes on: its caller may only have lost the connection.
        }
    });
}

auto RequestRun::startDeadline() -> void
{
    const auto limit = m_request.deadline ? std::min(*m_request.deadline, m_route->timeout) : m_route->timeout;
    m_deadline = m_request.arrivedAt + limit;
    m_timer.expires_at(std::chrono::steady_clock::time_point(m_deadline.time_since_epoch()));
    m_timer.async_wait([fate = m_fate, cancellation = m_cancellation](const boost::system::error_code& error) {
        if (!error) {
            fate->isTimedOut = true;
            cancellation->cancel();
        }
    });
}

auto RequestRun::noteStage(const char* stage, framework::Instant began) -> void
{
    m_stages[stage] = std::chrono::duration_cast<Milliseconds>(m_parts.clock.now() - began).count();
}

auto RequestRun::logEnd(std::string_view outcome, unsigned status) -> void
{
    const auto took = std::chrono::duration_cast<Milliseconds>(m_parts.clock.now() - m_request.arrivedAt);
    m_parts.metrics.count("requests", {{"outcome", std::string(outcome)}});
    m_parts.metrics.record("request_ms", static_cast<double>(took.count()));
    auto fields = Json{{"request", m_request.id}, {"outcome", outcome},   {"status", status},
                       {"tookMs", took.count()},  {"account", m_account}, {"configuration", m_routes ? m_routes->version() : 0}};
    if (m_route != nullptr) {
        fields["route"] = m_route->name;
        fields["kind"] = framework::nameOf(routing::s_requestKindNames, m_route->kind);
    }
    if (!m_attemptLog.empty()) {
        fields["attempts"] = std::move(m_attemptLog);
    }
    if (!m_request.turn.program.empty()) {
        fields["program"] = m_request.turn.program;
        if (m_request.turn.hasBudget) {
            fields["budget"] = m_request.turn.budget;
            fields["mostTokens"] = m_request.turn.mostTokens;
        }
    }
    if (!m_stages.empty()) {
        fields["stagesMs"] = m_stages;
    }
    if (!m_commit.empty()) {
        fields["commit"] = m_commit;
        fields["events"] = m_events.events();
    }
    if (m_fate->hasCallerLeft) {
        fields["callerLeft"] = true;
    }
    framework::logEvent(status >= 500 ? LogLevel::Warning : LogLevel::Info, "serving", "request_ended", std::move(fields));
}

} // namespace laburnummill::serving
