#include "accounts/countupdates.h"

#include <algorithm>

namespace laburnummill::accounts {

namespace {

constexpr auto s_sendsPerChange = 3;

} // namespace

auto CountUpdates::take(const AdmittedCounts& admitted) -> std::vector<ReportedCount>
{
    auto updates = std::vector<ReportedCount>();
    for (const auto& [account, count] : admitted) {
        auto& reported = m_reported[account];
        if (reported.admitted != count) {
            reported = {.admitted = count, .before = reported.admitted, .sendsLeft = s_sendsPerChange};
        }
        if (reported.sendsLeft > 0) {
            --reported.sendsLeft;
            updates.push_back({.account = account, .admitted = count, .newly = count - std::min(count, reported.before)});
        }
    }
    return updates;
}

auto CountUpdates::hasUrgentUpdate(FleetLimiter& limiter, framework::Instant now) const -> bool
{
    return std::ranges::any_of(limiter.admitted(), [&](const auto& entry) {
        const auto reported = m_reported.find(entry.first);
        const auto isUnreported = reported == m_reported.end() || reported->second.admitted != entry.second;
        return isUnreported && limiter.isNearLimit(entry.first, now);
    });
}

} // namespace laburnummill::accounts
