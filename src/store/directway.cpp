#include "store/directway.h"

#include "store/storeerrors.h"

#include <algorithm>

namespace laburnummill::store {

namespace {

using framework::Instant;
using framework::Milliseconds;

constexpr auto s_firstAvoidance = Milliseconds(250);
constexpr auto s_mostDoublings = 3;

/// The followers of changes try the direct way about once a second anyway.
constexpr auto s_longestAvoidance = Milliseconds(2'000);

/// A host under load is answered more often than this.
constexpr auto s_shortSilence = Milliseconds(50);

/// While a call fails, other partitions are probed several times within this time.
constexpr auto s_longestSilence = Milliseconds(1'000);

/// An answer of another partition shows for this long that the way is sound; they are probed at shorter intervals.
constexpr auto s_recentAnswer = Milliseconds(500);

/// Partitions that are tried at a time for the return of a way that is lost.
constexpr auto s_triedIfLost = std::size_t{2};

/// A store that refuses all calls of a host serves none within this time.
constexpr auto s_recentSuccess = Milliseconds(500);

auto avoidance(int failuresInARow) -> Milliseconds
{
    return std::min(s_firstAvoidance * (1 << std::min(failuresInARow, s_mostDoublings)), s_longestAvoidance);
}

} // namespace

auto DirectWay::succeeded(std::string_view partition, Instant now) -> void
{
    if (!isSound(now)) {
        m_failures.clear(); // They were due to the way.
    } else if (const auto found = m_failures.find(partition); found != m_failures.end()) {
        m_failures.erase(found);
    }
    m_failedSinceAnswer.clear();
    m_whole = {};
    m_hasAnswered = true;
    m_succeededAt = now;
}

auto DirectWay::failed(std::string_view partition, Instant now) -> void
{
    if (m_failedSinceAnswer.empty()) {
        m_failingSince = now;
    }
    m_failedSinceAnswer.emplace(partition);
    auto& failures = m_failures[std::string(partition)];
    if (failures.inARow == 0) {
        failures.since = now;
    }
    failures.avoidedUntil = now + avoidance(failures.inARow++);
    if (!isSound(now)) {
        m_whole.avoidedUntil = now + avoidance(m_whole.inARow++);
    }
}

auto DirectWay::isFailure(const std::error_code& error, Instant startedAt, bool isSlow) const -> bool
{
    // Where the store serves other calls, too many wait for this one's partition, and further ones would only add to these.
    const auto since = error == StoreError::Overloaded ? startedAt - s_recentSuccess : startedAt;
    return error == StoreError::Unavailable || !(isSlow || hasSucceededSince(since));
}

auto DirectWay::isUsable(std::string_view partition, Instant now) const -> bool
{
    const auto found = m_failures.find(partition);
    return now >= m_whole.avoidedUntil && (found == m_failures.end() || now >= found->second.avoidedUntil);
}

auto DirectWay::isSound(Instant now) const -> bool
{
    const auto isLost = m_failedSinceAnswer.size() >= s_lostPartitions || now >= m_failingSince + s_longestSilence;
    return m_failedSinceAnswer.empty() || !isLost;
}

auto DirectWay::isInDoubt(Instant now) const -> bool
{
    return !m_failedSinceAnswer.empty() && now >= m_failingSince + s_shortSilence;
}

auto DirectWay::isFailureOfPartition(std::string_view partition, Instant now) const -> bool
{
    const auto found = m_failures.find(partition);
    return found != m_failures.end() && hasSucceededSince(std::max(found->second.since, now - s_recentAnswer));
}

auto DirectWay::partitionsToTry(const std::vector<std::string>& partitions, Instant now) const -> std::vector<std::string>
{
    const auto count = m_failedSinceAnswer.empty() ? 1 : isSound(now) ? s_lostPartitions : s_triedIfLost;
    auto found = std::vector<std::string>();
    const auto add = [&](bool areFailing) {
        for (const auto& partition : partitions) {
            if (found.size() < count && isFailing(partition) == areFailing) {
                found.push_back(partition);
            }
        }
    };
    add(false);
    add(true);
    return found;
}

} // namespace laburnummill::store
