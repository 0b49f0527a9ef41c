#include "backends/backendhealth.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Weight of the newest request in the exponential averages, which cover about the last ten requests.
constexpr auto s_smoothingFactor = 0.1;

/// How long a server is avoided after its first failure; doubles with each further failure.
constexpr auto s_initialAvoidance = Milliseconds(250);

/// Upper limit of the time for which a server is avoided. Servers restart within seconds after a crash; avoiding them longer
/// would leave them idle.
constexpr auto s_maxAvoidance = Milliseconds(2'000);

/// Consecutive failures that indicate a crash rather than isolated errors.
constexpr auto s_consecutiveFailureLimit = 3;

/// One failure adds less than this to this host's own share.
constexpr auto s_isolatedFailureShare = 0.15;

/// Requests of the last seconds for each one in progress: half-life of the failure share by the time that a request takes, some 0.2 s.
constexpr auto s_recentPerRunning = 14.0;

/// Answered requests that are presumed before any is known.
constexpr auto s_presumedAnswers = 8.0;

/// Half-life of the failure share. A server fails for some seconds; a few requests then show whether it has recovered.
constexpr auto s_failureHalfLife = Milliseconds(2'000);

constexpr auto s_slownessRange = std::pair(0.2, 20.0);

} // namespace

auto BackendHealth::failureShare(Instant now) const -> double
{
    const auto halfLives = std::chrono::duration<double>(now - m_failureShareAt) / std::chrono::duration<double>(s_failureHalfLife);
    return m_failureShare == 0 ? 0 : m_failureShare * std::exp2(-halfLives);
}

auto BackendHealth::combinedFailureShare(int inFlight, Instant now) const -> double
{
    const auto own = failureShare(now);
    const auto failures = (own + m_remote.failureShares) / s_smoothingFactor;
    const auto requests = failures + inFlight * s_recentPerRunning + s_presumedAnswers;
    const auto overAllHosts = failures / requests;
    return own > s_isolatedFailureShare ? std::max(own, overAllHosts) : overAllHosts;
}

auto BackendHealth::record(ServerOutcome outcome, double slowness, Instant now) -> void
{
    const auto isFailure = outcome != ServerOutcome::Answered && outcome != ServerOutcome::Refused;
    const auto share = failureShare(now);
    m_failureShare = share + s_smoothingFactor * ((isFailure ? 1.0 : 0.0) - share);
    m_failureShareAt = now;
    if (!isFailure) {
        m_consecutiveFailures = 0;
        if (outcome == ServerOutcome::Answered) {
            m_avoidedUntil = {};
        }
        if (slowness > 0) {
            m_slowness += s_smoothingFactor * (std::clamp(slowness, s_slownessRange.first, s_slownessRange.second) - m_slowness);
        }
        return;
    }
    ++m_consecutiveFailures;
    if (outcome == ServerOutcome::Unreachable || m_consecutiveFailures >= s_consecutiveFailureLimit) {
        const auto doublings = std::min(m_consecutiveFailures - 1, 3);
        m_avoidedUntil = now + std::min(s_initialAvoidance * (1 << doublings), s_maxAvoidance);
    }
}

} // namespace laburnummill::backends
