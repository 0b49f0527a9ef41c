#pragma once

#include "framework/global/time.h"

namespace laburnummill::backends {

/// The outcome of a request to a backend server, as far as it indicates the server's health.
enum class ServerOutcome
{
    Answered,    ///< a complete response
    Refused,     ///< the server stated that it did not execute the request
    Unreachable, ///< no connection could be established
    Broken,      ///< the connection was lost, the response was truncated or the server returned an error
    TimedOut,    ///< no response in time
};

/// What other hosts report about a backend server.
struct RemoteHealth
{
    double failureShares = 0; ///< fractions of their recent requests that failed, summed over the hosts
    int overdue = 0;          ///< requests without a response for unusually long
};

/// Health of one backend server, derived from the outcomes of requests. Health checks are not sufficient, because they can
/// succeed on a server that fails requests.
class BackendHealth
{
public:
    /// Records the outcome of a request. `slowness` is the ratio of its duration to that of similar requests to other servers
    /// (1: usual, 0: unknown).
    auto record(ServerOutcome outcome, double slowness, framework::Instant now) -> void;

    /// Whether new work should be sent to other servers for now.
    auto isAvoided(framework::Instant now) const -> bool { return now < m_avoidedUntil; }

    /// Fraction of this host's recent requests that failed, 0 to 1. Decays over time, so that a recovered server is used again.
    auto failureShare(framework::Instant now) const -> double;

    auto setRemoteReports(const RemoteHealth& reports) -> void { m_remote = reports; }

    /// Fraction of the recent requests of all hosts that failed, with `inFlight` requests of theirs in progress. If this host's own
    /// fraction is higher and not due to a single failure, that one.
    auto combinedFailureShare(int inFlight, framework::Instant now) const -> double;
    auto remoteOverdue() const -> int { return m_remote.overdue; }

    /// Average ratio of request durations on this server to those on other servers; 1 is usual.
    auto slowness() const -> double { return m_slowness; }

private:
    double m_failureShare = 0;
    framework::Instant m_failureShareAt{};
    RemoteHealth m_remote;
    double m_slowness = 1;
    int m_consecutiveFailures = 0;
    framework::Instant m_avoidedUntil{};
};

} // namespace laburnummill::backends
