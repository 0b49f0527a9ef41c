#pragma once

#include "calls/internal/callsteps.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"

#include <memory>
#include <optional>

namespace laburnummill::calls {

/// What membership tells of the executors that records name.
class ExecutorDirectory
{
public:
    ExecutorDirectory(std::shared_ptr<coordination::IMembership> membership, std::shared_ptr<framework::IClock> clock);

    auto self() const -> const coordination::MemberId& { return m_membership->self().id; }

    auto executorStatusOf(const IntentRecord& record) const -> ExecutorStatus;

    /// Where the member can be reached; nothing where it is not known.
    auto addressOf(const coordination::MemberId& member) const -> std::optional<framework::Endpoint>;

    /// Milliseconds since the Unix epoch.
    auto wallTimeMs() const -> std::int64_t { return framework::unixMilliseconds(m_clock->wallTime()); }

private:
    auto isReplaced(const coordination::MemberId& member) const -> bool;

    std::shared_ptr<coordination::IMembership> m_membership;
    std::shared_ptr<framework::IClock> m_clock;
};

/// No request of an attempt leaves later than this after its call came in.
inline constexpr auto s_maxCallTimeout = framework::Milliseconds(10 * 60'000);

} // namespace laburnummill::calls
