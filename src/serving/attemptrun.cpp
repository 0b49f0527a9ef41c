#include "serving/requestrun.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// The part of a request's life that it spends at backend servers.

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using backends::ServerOutcome;
using framework::Async;
using framework::Milliseconds;
using routing::RequestKind;

/// A sound server's first bytes come within some times the usual; what takes longer, or this long where nothing is known,
/// may never come.
constexpr auto s_overdueFactor = 6.0;
constexpr auto s_shortestOverdue = Milliseconds(250);
constexpr auto s_overdueUnknown = Milliseconds(1'000);

/// Shared with a timer's handler, which may come after the attempt's end.
struct Watch
{
    bool isOver = false;
    bool isGivenUp = false;
};

/// An attempt that was cancelled because another server may answer sooner; it may also have ended by itself at that moment.
auto endOfGivenUp(AttemptEnd end) -> AttemptEnd
{
    switch (end) {
    case AttemptEnd::Cancelled:
        return AttemptEnd::Overdue;
    case AttemptEnd::CancelledUnsent:
        return AttemptEnd::NotSent;
    default:
        return end;
    }
}

} // namespace

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
    const auto watch = std::make_shared<Watch>();
    auto timer = asio::steady_timer(m_parts.executor, patience);
    timer.async_wait([this, watch, cancellation](const boost::system::error_code& error) {
        if (!error && !watch->isOver && mayGoElsewhere()) {
            watch->isGivenUp = true;
            cancellation->cancel();
        }
    });
    auto result =
        co_await m_parts.exchange.attempt(backend, m_request, target, m_route->kind == RequestKind::Stream ? this : nullptr, cancellation);
    watch->isOver = true;
    timer.cancel();
    m_awaited.reset();
    if (watch->isGivenUp && !m_cancellation->cancelled()) {
        result.end = endOfGivenUp(result.end);
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
                            {"elsewhere", backend->runningRemotely}});
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

auto RequestRun::mayGoElsewhere() const -> bool
{
    if (m_route->kind != RequestKind::Repeatable || m_attempts + 1 >= m_route->maxAttempts) {
        return false;
    }
    // Where all servers are late, sending again would only add to their load.
    const auto servers = m_parts.knowledge.backends().available(m_service->name);
    return scheduling::hasResponsiveServer(servers, m_need, m_parts.clock.now());
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
            slowness = m_parts.latencies.record(m_route->name, span / (m_events.events() - 1));
        } else if (!isFailure && !isStream) {
            slowness = m_parts.latencies.record(m_route->name, static_cast<double>(result.toHead.count()));
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
        backend->health.record(ServerOutcome::TimedOut, 0, now);
        return;
    case AttemptEnd::Cancelled:
        if (m_fate->isTimedOut && !m_answer.hasBegun()) {
            backend->health.record(ServerOutcome::TimedOut, 0, now);
        }
        return;
    case AttemptEnd::CancelledUnsent:
        return;
    }
}

} // namespace laburnummill::serving
