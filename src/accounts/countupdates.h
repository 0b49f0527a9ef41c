#pragma once

#include "accounts/fleetlimiter.h"

namespace laburnummill::accounts {

/// An account's count as it is told to other hosts.
struct ReportedCount
{
    std::string account;
    std::uint64_t admitted = 0; ///< since this host started
    std::uint64_t newly = 0;    ///< of these, since it was told the last time
};

/// Which counts the other hosts are told, and how soon.
class CountUpdates
{
public:
    /// What the next heartbeat tells: counts that changed lately. Each is told some times, as datagrams get lost.
    auto take(const AdmittedCounts& admitted) -> std::vector<ReportedCount>;

    /// Whether a count changed of an account that is close to its limit.
    auto hasUrgentUpdate(FleetLimiter& limiter, framework::Instant now) const -> bool;

private:
    struct Reported
    {
        std::uint64_t admitted = 0;
        std::uint64_t before = 0; ///< as it was told before that
        int sendsLeft = 0;
    };

    std::map<std::string, Reported, std::less<>> m_reported;
};

} // namespace laburnummill::accounts
