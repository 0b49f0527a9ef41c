#pragma once

#include "calls/internal/callsteps.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"

#include <memory>
#include <optional>

namespace laburnummill::calls {

/// Looks up executors in the membership. An executor is the member whose id is stored in an intent record because it runs the
/// attempt.
class ExecutorDirectory
{
public:
    ExecutorDirectory(std::shared_ptr<coordination::IMembership> membership, std::shared_ptr<framework::IClock> clock);

    auto self() const -> const coordination::MemberId& { return m_membership->self().id; }

    auto executorStatusOf(const IntentRecord& record) const -> ExecutorStatus;

    /// Returns nullopt if the member is not in the membership.
    auto addressOf(const coordination::MemberId& member) const -> std::optional<framework::Endpoint>;

    /// Milliseconds since the Unix epoch.
    auto wallTimeMs() const -> std::int64_t { return framework::unixMilliseconds(m_clock->wallTime()); }

private:
    auto isReplaced(const coordination::MemberId& member) const -> bool;

    std::shared_ptr<coordination::IMembership> m_membership;
    std::shared_ptr<framework::IClock> m_clock;
};

/// Upper bound of a call's timeout. An attempt sends no request later than this time after the arrival of its call.
inline constexpr auto s_maxCallTimeout = framework::Milliseconds(10 * 60'000);

} // namespace laburnummill::calls
