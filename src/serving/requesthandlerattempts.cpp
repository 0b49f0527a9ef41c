#include "serving/requesthandler.h"

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

/// The first bytes from a healthy server arrive within a small multiple of the average latency. A response that takes longer,
/// or longer than the default if no average is known, may never arrive.
constexpr auto s_overdueFactor = 6.0;
constexpr auto s_minOverdueTimeout = Milliseconds(250);
constexpr auto s_defaultOverdueTimeout = Milliseconds(1'000);

/// Shared with a timer's handler, which may run after the attempt has ended.
struct OverdueState
{
    bool isFinished = false;
    bool isAbandoned = false;
};

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

auto RequestHandler::attemptOnce(const BackendPtr& backend) -> Async<AttemptResult>
{
    ++backend->running;
    const auto target = BackendTarget{.instance = backend->entry.id, .account = m_account, .remainingTime = remainingTime()};
    const auto startedAt = m_context.clock.now();
    const auto timeout = overdueTimeout();
    m_attemptStartedAt = startedAt;
    m_awaited.emplace(backend, startedAt + timeout);
    const auto cancellation = std::make_shared<framework::Cancellation>();
    m_cancellation->onCancel([cancellation] { cancellation->cancel(); });
    const auto overdueState = std::make_shared<OverdueState>();
    auto timer = asio::steady_timer(m_context.executor, timeout);
    timer.async_wait([this, overdueState, cancellation](const boost::system::error_code& error) {
        if (!error && !overdueState->isFinished && canTryOtherServer()) {
            overdueState->isAbandoned = true;
            cancellation->cancel();
        }
    });
    auto result = co_await m_context.backendClient.attempt(backend, m_request, target,
                                                           m_route->kind == RequestKind::Stream ? this : nullptr, cancellation);
    overdueState->isFinished = true;
    timer.cancel();
    m_awaited.reset();
    if (overdueState->isAbandoned && !m_cancellation->cancelled()) {
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
    m_attemptLog.push_back({{"server", backend->entry.id},
                            {"end", framework::nameOf(s_attemptOutcomeNames, result.outcome)},
                            {"status", result.head.result_int()},
                            {"toHeadMs", result.toHead.count()},
                            {"tookMs", took.count()},
                            {"running", backend->running},
                            {"elsewhere", backend->runningRemotely}});
    co_return result;
}

auto RequestHandler::overdueTimeout() const -> Milliseconds
{
    const auto average = m_context.latencies.average(m_route->kind == RequestKind::Stream ? firstEventLatencyKind() : m_route->name);
    if (!average) {
        return s_defaultOverdueTimeout;
    }
    return std::max(s_minOverdueTimeout, Milliseconds(static_cast<std::int64_t>(*average * s_overdueFactor)));
}

auto RequestHandler::canTryOtherServer() const -> bool
{
    if (m_route->kind != RequestKind::Repeatable || m_attempts + 1 >= m_route->maxAttempts) {
        return false;
    }
    // If all servers are overdue, another attempt would only increase their load.
    const auto servers = m_context.fleetState.backends().available(m_service->name);
    return scheduling::hasResponsiveServer(servers, m_requirements, m_context.clock.now());
}

auto RequestHandler::recordOutcome(const BackendPtr& backend, const AttemptResult& result) -> void
{
    const auto now = m_context.clock.now();
    const auto fingerprint = fingerprintOf(m_account, m_request.target, m_input.empty() ? m_request.body : m_input);
    if (result.metadata.waiting) {
        backend->reportedWaiting = *result.metadata.waiting;
        backend->reportedAt = now;
    }
    switch (result.outcome) {
    case AttemptOutcome::Answered: {
        const auto isFailure = result.head.result_int() >= 500;
        const auto isStream = m_route->kind == RequestKind::Stream;
        auto slowness = 0.0;
        if (!isFailure && isStream && m_events.events() > 1) {
            const auto span = std::chrono::duration<double, std::milli>(m_lastEventAt - m_firstEventAt).count();
            slowness = m_context.latencies.record(m_route->name, span / (m_events.events() - 1));
        } else if (!isFailure && !isStream) {
            slowness = m_context.latencies.record(m_route->name, static_cast<double>(result.toHead.count()));
        }
        backend->health.record(isFailure ? ServerOutcome::Broken : ServerOutcome::Answered, slowness, now);
        m_context.quarantine.recordAnswer(fingerprint);
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
        m_context.quarantine.recordCrash(fingerprint, now);
        return;
    case AttemptOutcome::Overdue:
        backend->health.record(ServerOutcome::TimedOut, 0, now);
        return;
    case AttemptOutcome::Cancelled:
        if (m_interruption->isTimedOut && !m_response.hasStarted()) {
            backend->health.record(ServerOutcome::TimedOut, 0, now);
        }
        return;
    case AttemptOutcome::CancelledUnsent:
        return;
    }
}

} // namespace laburnummill::serving
