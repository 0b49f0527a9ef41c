#pragma once

#include "calls/internal/callsteps.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"

#include <memory>
#include <optional>

namespace laburnummill::calls {

/// Looks up in the membership the status and address of the executors that records name.
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

/// Upper bound of a call's timeout. No request of an attempt is sent later than this after its call has arrived.
inline constexpr auto s_maxCallTimeout = framework::Milliseconds(10 * 60'000);

} // namespace laburnummill::calls
