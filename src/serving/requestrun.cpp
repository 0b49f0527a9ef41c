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
using backends::ServerOutcome;
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

/// A sound server's first bytes come within some times the usual; what takes longer, or this long where nothing is known,
/// may never come.
constexpr auto s_overdueFactor = 6.0;
constexpr auto s_shortestOverdue = Milliseconds(250);
constexpr auto s_overdueUnknown = Milliseconds(1'000);

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

auto RequestRun::stage() const -> accounts::Stage
{
    const auto begins = isTurn() ? m_request.turn.previousTurn.empty() : m_request.turn.program.empty();
    return begins ? accounts::Stage::Begins : accounts::Stage::GoesOn;
}

auto RequestRun::takeFromLimit() -> Async<std::optional<Refusal>>
{
    if (m_account.empty()) {
        co_return std::nullopt;
    }
    const auto began = m_parts.clock.now();
    const auto patience = stage() == accounts::Stage::GoesOn ? std::min(s_limitPatience, timeLeft() / 3) : Milliseconds(0);
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
    if (!isTurn() || stage() != accounts::Stage::Begins) {
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

auto RequestRun::attemptOnce(const BackendPtr& backend) -> Async<AttemptResult>
{
    ++backend->running;
    const auto target = BackendTarget{.instance = backend->entry.id, .account = m_account, .timeLeft = timeLeft()};
    const auto began = m_parts.clock.now();
    const auto patience = overdueAfter();
    m_attemptBegan = began;
    m_awaited.emplace(backend, began + patience);
    const auto cancellation = std::make_shared<framework::Cancellation>();
    m_cancellation->onCancel([cancellation] { cancellation->cancel(); });
    auto isGivenUp = std::make_shared<bool>(false);
    auto timer = asio::steady_timer(m_parts.executor, patience);
    if (mayGoElsewhere(backend)) {
        timer.async_wait([cancellation, isGivenUp](const boost::system::error_code& error) {
            if (!error) {
                *isGivenUp = true;
                cancellation->cancel();
            }
        });
    }
    auto result =
        co_await m_parts.exchange.attempt(backend, m_request, target, m_route->kind == RequestKind::Stream ? this : nullptr, cancellation);
    timer.cancel();
    m_awaited.reset();
    if (*isGivenUp && !m_cancellation->cancelled()) {
        result.end = result.end == AttemptEnd::Cancelled         ? AttemptEnd::Overdue
                     : result.end == AttemptEnd::CancelledUnsent ? AttemptEnd::NotSent
                                                                 : result.end;
    }
    --backend->running;
    if (result.end != AttemptEnd::NotSent && result.end != AttemptEnd::CancelledUnsent) {
        ++m_attempts;
    }
    const auto isSurelyNotRun = result.end == AttemptEnd::NotSent || result.end == AttemptEnd::NotRun ||
                                result.end == AttemptEnd::OtherServer || result.end == AttemptEnd::CancelledUnsent;
    m_mayHaveRun = m_mayHaveRun || !isSurelyNotRun;
    const auto took = std::chrono::duration_cast<Milliseconds>(m_parts.clock.now() - began);
    m_attemptLog.push_back({{"server", backend->entry.id},
                            {"end", framework::nameOf(s_attemptEndNames, result.end)},
                            {"status", result.head.result_int()},
                            {"toHeadMs", result.toHead.count()},
                            {"tookMs", took.count()},
                            {"running", backend->running},
                            {"elsewhere", backend->runningElsewhere}});
    co_return result;
}

auto RequestRun::overdueAfter() const -> Milliseconds
{
    const auto usual = m_parts.latencies.usual(m_route->kind == RequestKind::Stream ? firstEventKind() : m_route->name);
    if (!usual) {
        return s_overdueUnknown;
    }
    return std::max(s_shortestOverdue, Milliseconds(static_cast<std::int64_t>(*usual * s_overdueFactor)));
}

auto RequestRun::mayGoElsewhere(const BackendPtr& backend) const -> bool
{
    if (m_route->kind != RequestKind::Repeatable || m_attempts + 1 >= m_route->maxAttempts) {
        return false;
    }
    const auto servers = m_parts.knowledge.backends().available(m_service->name);
    return std::ranges::any_of(servers, [&](const auto& server) { return server != backend && !m_need.tried.contains(server->number); });
}

auto RequestRun::judge(const BackendPtr& backend, const AttemptResult& result) -> void
{
    const auto now = m_parts.clock.now();
    const auto fingerprint = fingerprintOf(m_account, m_request.target, m_input.empty() ? m_request.body : m_input);
    if (result.marks.waiting) {
        backend->reportedWaiting = *result.marks.waiting;
        backend->reportedAt = now;
    }
    switch (result.end) {
    case AttemptEnd::Answered: {
        const auto isFailure = result.head.result_int() >= 500;
        const auto isStream = m_route->kind == RequestKind::Stream;
        auto slowness = 0.0;
        if (!isFailure && isStream && m_events.events() > 1) {
            const auto span = std::chrono::duration<double, std::milli>(m_lastEventAt - m_firstEventAt).count();
            slowness = m_parts.latencies.slowness(m_route->name, span / (m_events.events() - 1));
        } else if (!isFailure && !isStream) {
            slowness = m_parts.latencies.slowness(m_route->name, static_cast<double>(result.toHead.count()));
        }
        backend->health.record(isFailure ? ServerOutcome::Broken : ServerOutcome::Answered, slowness, now);
        m_parts.quarantine.answered(fingerprint);
        return;
    }
    case AttemptEnd::NotRun:
        backend->health.record(ServerOutcome::Refused, 0, now);
        return;
    case AttemptEnd::NotSent:
    case AttemptEnd::OtherServer:
        backend->health.record(ServerOutcome::Unreachable, 0, now);
        return;
    case AttemptEnd::Lost:
    case AttemptEnd::BrokenOff:
        backend->health.record(ServerOutcome::Broken, 0, now);
        m_parts.quarantine.broke(fingerprint, now);
        return;
    case AttemptEnd::Overdue:
        backend->health.record(ServerOutcome::Silent, 0, now);
        return;
    case AttemptEnd::Cancelled:
        if (m_fate->isTimedOut && !m_answer.hasBegun()) {
            backend->health.record(ServerOutcome::Silent, 0, now);
        }
        return;
    case AttemptEnd::CancelledUnsent:
        return;
    }
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
