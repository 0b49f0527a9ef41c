#include "store/storehealth.h"

#include "store/storeerrors.h"

#include <algorithm>

namespace laburnummill::store {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// The store answers in about 10 ms.
constexpr auto s_lateAnswer = Milliseconds(100);

/// A late answer tells nothing of the store any more after this time.
constexpr auto s_lateRetention = Milliseconds(5'000);

/// Without an answer for this long the store counts as away. If it is slow, calls may wait for earlier ones.
constexpr auto s_awayAfter = Milliseconds(700);
constexpr auto s_awayAfterIfSlow = Milliseconds(2'000);

/// The same while the store answers later calls to other partitions, and if other hosts report the partition besides.
constexpr auto s_awayAfterIfAlone = Milliseconds(300);
constexpr auto s_awayAfterIfReported = Milliseconds(60);

/// An answer of another partition shows for this long that the store is away for some partitions only.
constexpr auto s_elsewhereRetention = Milliseconds(1'000);

/// Whether the store has answered, if only to say that the call is at fault or that it has too many calls.
auto isAnswer(const std::error_code& error) -> bool
{
    return !error || (error != StoreError::Unavailable && error != StoreError::OutcomeUnknown);
}

} // namespace

StoreHealth::StoreHealth(const framework::IClock& clock)
    : m_clock(clock)
{}

auto StoreHealth::begin(std::string_view partition) -> CallId
{
    m_partitions.try_emplace(std::string(partition));
    m_open.emplace(++m_lastCall, Call{.partition = std::string(partition), .startedAt = m_clock.now()});
    return m_lastCall;
}

auto StoreHealth::end(CallId call, const std::error_code& error) -> void
{
    const auto found = m_open.find(call);
    if (found == m_open.end()) {
        return;
    }
    const auto wasAway = state(found->second.partition) == StoreState::Away;
    const auto ended = std::move(found->second);
    m_open.erase(found);
    if (isAnswer(error)) {
        onAnswered(ended, wasAway, m_clock.now());
        return;
    }
    auto& partition = m_partitions[ended.partition];
    const auto answeredAt = isSlow() ? m_answeredAt : partition.answeredAt;
    if (!partition.hasFailed) {
        partition.failedFrom = ended.startedAt;
    }
    partition.hasFailed = partition.hasFailed || error == StoreError::Unavailable || answeredAt < ended.startedAt;
}

auto StoreHealth::onAnswered(const Call& call, bool wasAway, Instant now) -> void
{
    auto& partition = m_partitions[call.partition];
    partition.answeredAt = now;
    partition.hasFailed = false;
    m_answeredAt = now;
    m_isLate = !wasAway && now - call.startedAt > s_lateAnswer; // A call to a store that was away says nothing of its pace.
    m_lateAt = m_isLate ? now : m_lateAt;
}

auto StoreHealth::isSlow() const -> bool
{
    return m_isLate && m_clock.now() < m_lateAt + s_lateRetention;
}

auto StoreHealth::state(std::string_view partition) const -> StoreState
{
    const auto isLate = isSlow();
    const auto known = m_partitions.find(partition);
    if (known != m_partitions.end() && known->second.hasFailed) {
        return StoreState::Away;
    }
    const auto oldest = std::ranges::find_if(m_open, [partition](const auto& open) { return open.second.partition == partition; });
    if (oldest != m_open.end() && m_clock.now() >= awayFrom(oldest->second, isLate)) {
        return StoreState::Away;
    }
    return isLate ? StoreState::Slow : StoreState::Prompt;
}

auto StoreHealth::isAwayAlone(std::string_view partition) const -> bool
{
    const auto now = m_clock.now();
    if (state(partition) != StoreState::Away || now > m_answeredAt + s_elsewhereRetention) {
        return false;
    }
    auto unansweredFrom = now;
    if (const auto known = m_partitions.find(partition); known != m_partitions.end() && known->second.hasFailed) {
        unansweredFrom = known->second.failedFrom;
    }
    for (const auto& [id, call] : m_open) {
        unansweredFrom = call.partition == partition ? std::min(unansweredFrom, call.startedAt) : unansweredFrom;
    }
    // An answer that arrived at once may have been on its way when this host was cut off.
    return m_answeredAt >= unansweredFrom + s_lateAnswer;
}

auto StoreHealth::isSilentFor(Milliseconds time) const -> bool
{
    const auto now = m_clock.now();
    const auto isOverdue = !m_open.empty() && now >= m_open.begin()->second.startedAt + time;
    const auto hasFailed = std::ranges::any_of(m_partitions, [](const auto& entry) { return entry.second.hasFailed; });
    return now >= m_answeredAt + time && (isOverdue || hasFailed);
}

auto StoreHealth::awayPartitions() const -> std::vector<std::string>
{
    auto away = std::vector<std::string>();
    for (const auto& [name, known] : m_partitions) {
        if (state(name) == StoreState::Away) {
            away.push_back(name);
        }
    }
    return away;
}

auto StoreHealth::awayFrom(const Call& call, bool isLate) const -> Instant
{
    if (isLate || call.startedAt < m_lateAt) {
        return std::max(call.startedAt, m_answeredAt) + s_awayAfterIfSlow; // It may wait for many calls to its partition.
    }
    const auto known = m_partitions.find(call.partition);
    const auto answeredAt = known == m_partitions.end() ? Instant{} : known->second.answeredAt;
    const auto isUnanswered = call.startedAt > answeredAt; // Else only its answer was lost.
    if (isUnanswered && std::ranges::find(m_reportedAway, call.partition) != m_reportedAway.end()) {
        return call.startedAt + s_awayAfterIfReported;
    }
    if (isUnanswered && m_answeredAt >= call.startedAt + s_lateAnswer) {
        return call.startedAt + s_awayAfterIfAlone;
    }
    return std::max(call.startedAt, answeredAt) + s_awayAfter;
}

} // namespace laburnummill::store
