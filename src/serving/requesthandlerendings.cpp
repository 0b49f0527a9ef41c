#include "serving/requesthandler.h"

#include "framework/global/digest.h"

#include <algorithm>

// How requests end that no backend server has answered.

namespace laburnummill::serving {

namespace {

using framework::Milliseconds;
using scheduling::EndReason;

/// Delays after which callers should retry: by then a slot may be free or another host may have taken over.
constexpr auto s_retrySoon = Milliseconds(150);
constexpr auto s_retryRateLimited = Milliseconds(150);
constexpr auto s_retrySpreadMilliseconds = 500U;

/// Longest delay named to callers whose request the servers do not accept now: other hosts may have shares left.
constexpr auto s_maxLimitRetry = Milliseconds(1'000);
constexpr auto s_retryUnready = Milliseconds(400);

/// Callers wait for up to this share of their remaining time before they retry, and do so once or twice.
constexpr auto s_retryShare = 3;

/// Whether the request could be served if the store answered.
auto isForWantOfStore(Refusal refusal) -> bool
{
    return refusal == Refusal::BudgetUnknown || refusal == Refusal::TurnUnknown || refusal == Refusal::StoreUnreachable;
}

} // namespace

auto RequestHandler::endUnserved(const std::optional<AttemptResult>& last) -> std::optional<Refusal>
{
    noteEnd(last);
    if (!m_response.hasStarted()) {
        return refusalAfter(last);
    }
    m_response.abort();
    logEnd("broken_off", last && last->head ? std::optional(last->head->status()) : std::nullopt);
    return std::nullopt;
}

auto RequestHandler::noteEnd(const std::optional<AttemptResult>& last) -> void
{
    if (m_response.isCallerStalled()) {
        m_ending.note(EndReason::CallerStalled);
    } else if (m_interruption->hasCallerDisconnected) {
        m_ending.note(EndReason::CallerLeft);
    } else if (m_interruption->isTimedOut || remainingTime() <= s_minRemainingTime) {
        m_ending.note(EndReason::DeadlineReached);
    } else if (last) {
        m_ending.note(last->isHostFull                           ? EndReason::HostFull
                      : last->isTooLarge                         ? EndReason::AnswerTooLarge
                      : last->outcome == AttemptOutcome::Overdue ? EndReason::ServerTooSlow
                                                                 : EndReason::ServerBrokeOff);
    }
}

auto RequestHandler::canRetry(const AttemptResult& result) const -> bool
{
    if (m_interruption->hasCallerDisconnected || m_interruption->isTimedOut || m_ending.reason() == EndReason::TokensUsedUp ||
        m_attempts >= m_route->maxAttempts) {
        return false;
    }
    switch (result.outcome) {
    case AttemptOutcome::NotSent:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Misdirected:
        return true;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Lost:
    case AttemptOutcome::Truncated:
    case AttemptOutcome::Overdue:
        return routing::mayRunAgain(m_route->kind) && (!m_response.hasStarted() || m_continuation.has_value());
    case AttemptOutcome::Cancelled:
    case AttemptOutcome::CancelledUnsent:
        return false;
    }
    return false;
}

auto RequestHandler::refusalAfter(const std::optional<AttemptResult>& last) const -> Refusal
{
    if (m_mayHaveRun) {
        return m_interruption->isTimedOut || remainingTime() <= s_minRemainingTime ? Refusal::TimedOut : Refusal::Lost;
    }
    if (m_interruption->isTimedOut || remainingTime() <= s_minRemainingTime) {
        return Refusal::TimedOutUnsent;
    }
    if (last) {
        return Refusal::NotRun;
    }
    return m_limitWait ? Refusal::ServersLimited : Refusal::NoServer;
}

auto RequestHandler::retryAfter(Refusal refusal) -> std::optional<Milliseconds>
{
    if (isForWantOfStore(refusal) && m_context.journal.isStoreAwayForAll(programKey())) {
        return std::max(remainingTime() / s_retryShare, s_retrySoon);
    }
    switch (refusal) {
    case Refusal::RateLimited:
        // Retries are spread over time and do not precede those of requests that were rejected earlier.
        return std::max(m_context.limiter.timeToNext(m_account, m_phase, m_context.clock.now()), s_retryRateLimited) +
               Milliseconds(framework::hash64(m_request.id) % s_retrySpreadMilliseconds);
    case Refusal::NoConfiguration:
    case Refusal::StoreUnreachable:
        return s_retryUnready;
    case Refusal::TurnUnknown:
    case Refusal::BudgetUnknown:
    case Refusal::NoServer:
    case Refusal::NotRun:
    case Refusal::TimedOutUnsent:
    case Refusal::CutOff:
    case Refusal::Isolated:
    case Refusal::Stopping:
    case Refusal::HostFull:
        return s_retrySoon;
    case Refusal::ServersLimited:
        return std::clamp(m_limitWait.value_or(s_retrySoon), s_retrySoon, s_maxLimitRetry) +
               Milliseconds(framework::hash64(m_request.id) % s_retrySpreadMilliseconds);
    case Refusal::ServersFull:
        if (m_admissionWait) {
            return m_admissionWait;
        }
        return s_retryRateLimited + Milliseconds(framework::hash64(m_request.id) % s_retrySpreadMilliseconds);
    default:
        return std::nullopt;
    }
}

} // namespace laburnummill::serving
