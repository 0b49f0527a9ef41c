#include "calls/internal/executordirectory.h"

namespace laburnummill::calls {

namespace {

//! NOTE Exceeds the longest timeout of a call by more than the wall clocks of two hosts can differ.
constexpr auto s_unreachableLimit = s_maxCallTimeout + framework::Milliseconds(5 * 60'000);

} // namespace

ExecutorDirectory::ExecutorDirectory(std::shared_ptr<coordination::IMembership> membership, std::shared_ptr<framework::IClock> clock)
    : m_membership(std::move(membership))
    , m_clock(std::move(clock))
{}

auto ExecutorDirectory::executorStatusOf(const IntentRecord& record) const -> ExecutorStatus
{
    const auto& executor = record.executor;
    if (executor == self()) {
        return ExecutorStatus::Self;
    }
    if (executor.host == self().host || isReplaced(executor)) {
        return ExecutorStatus::Terminated;
    }
    if (m_membership->isAlive(executor)) {
        return ExecutorStatus::Alive;
    }
    const auto age = framework::Milliseconds(wallTimeMs() - record.startedAtMs);
    return age > s_unreachableLimit ? ExecutorStatus::Terminated : ExecutorStatus::Unreachable;
}

auto ExecutorDirectory::isReplaced(const coordination::MemberId& member) const -> bool
{
    for (const auto& dataCentre : m_membership->dataCentres()) {
        for (const auto& candidate : m_membership->members(dataCentre)) {
            if (candidate.id.host == member.host && candidate.id.incarnation > member.incarnation) {
                return true;
            }
        }
    }
    return false;
}

auto ExecutorDirectory::addressOf(const coordination::MemberId& member) const -> std::optional<framework::Endpoint>
{
    for (const auto& dataCentre : m_membership->dataCentres()) {
        for (const auto& candidate : m_membership->members(dataCentre)) {
            if (candidate.id == member) {
                return candidate.address;
            }
        }
    }
    return std::nullopt;
}

} // namespace laburnummill::calls
