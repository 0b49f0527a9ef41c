#pragma once

#include "accounts/fleetlimiter.h"

namespace laburnummill::accounts {

/// An account's count of admitted requests as it is reported to other hosts.
struct ReportedCount
{
    std::string account;
    std::uint64_t admitted = 0; ///< since this host started
    std::uint64_t newly = 0;    ///< number of these requests that came after the previously reported count
};

/// Selects the counts of admitted requests that are reported to other hosts, and determines when a report is urgent.
class CountUpdates
{
public:
    /// Returns the counts for the next heartbeat: those that changed recently. Each changed count is returned several times in a
    /// row, as datagrams may be lost.
    auto take(const AdmittedCounts& admitted) -> std::vector<ReportedCount>;

    /// Whether an account that is close to its limit has a count that has not been reported yet.
    auto hasUrgentUpdate(FleetLimiter& limiter, framework::Instant now) const -> bool;

private:
    struct Reported
    {
        std::uint64_t admitted = 0;
        std::uint64_t before = 0; ///< the previously reported count
        int sendsLeft = 0;
    };

    std::map<std::string, Reported, std::less<>> m_reported;
};

} // namespace laburnummill::accounts
