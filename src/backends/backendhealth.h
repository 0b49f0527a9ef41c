#pragma once

#include "framework/global/time.h"

namespace laburnummill::backends {

/// How a request at a backend server ended, as far as it tells of the server.
enum class ServerOutcome
{
    Answered,    ///< a whole answer
    Refused,     ///< the server said that it did not run the request
    Unreachable, ///< no connection could be made
    Broken,      ///< the connection or the answer broke off, or the server failed
    TimedOut,    ///< no answer in time
};

/// What requests tell of one backend server. Health checks may lie; what requests meet does not.
class BackendHealth
{
public:
    /// Takes the outcome of a request; `slowness` is its time against that of its kind elsewhere (1 is usual, 0 unknown).
    auto record(ServerOutcome outcome, double slowness, framework::Instant now) -> void;

    /// Whether new work should go elsewhere for now.
    auto isAvoided(framework::Instant now) const -> bool { return now < m_avoidedUntil; }

    /// Share of this host's recent requests that broke, 0 to 1. It fades, so that a server that is well again is used again.
    auto failureShare(framework::Instant now) const -> double;

    /// What other hosts say: the sum of their failure shares, and their requests that wait unusually long.
    auto setRemoteReports(double failureShares, int overdue) -> void;

    /// Share of recent requests that broke, as far as all hosts know, 0 to 1.
    auto combinedFailureShare(framework::Instant now) const -> double;
    auto remoteOverdue() const -> int { return m_remoteOverdue; }

    /// Time of its work against that of others; 1 is usual.
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
