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

    /// Sets what other hosts report: the sum of their failure shares and the number of their overdue requests.
    auto setRemoteReports(double failureShares, int overdue) -> void;

    /// Sum of the failure shares of this host and of the other hosts, limited to 1.
    auto combinedFailureShare(framework::Instant now) const -> double;
    auto remoteOverdue() const -> int { return m_remoteOverdue; }

    /// Average ratio of request durations on this server to those on other servers; 1 is usual.
    auto slowness() const -> double { return m_slowness; }

private:
    double m_failureShare = 0;
    framework::Instant m_failureShareAt{};
    double m_remoteFailureShares = 0;
    int m_remoteOverdue = 0;
    double m_slowness = 1;
    int m_consecutiveFailures = 0;
    framework::Instant m_avoidedUntil{};
};

} // namespace laburnummill::backends
