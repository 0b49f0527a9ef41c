#pragma once

#include "framework/global/time.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace laburnummill::store {

/// When to use the direct way to the store, for each of its partitions, and when another host's. Performs no I/O.
///
/// A call that fails tells of its partition only, as the store may be away in part. The way as a whole counts as lost when calls to several
/// partitions have failed, or when one has and a second has passed, without an answer from any partition meanwhile.
class DirectWay
{
public:
    auto succeeded(std::string_view partition, framework::Instant now) -> void;

    /// Leaves the way to the partition alone for a while that grows with each failure in a row.
    auto failed(std::string_view partition, framework::Instant now) -> void;

    /// Whether the error of a call that began at `startedAt` tells against the way or the partition. `isSlow`: the store answers late.
    auto isFailure(const std::error_code& error, framework::Instant startedAt, bool isSlow) const -> bool;

    auto isUsable(std::string_view partition, framework::Instant now) const -> bool;

    /// Whether the store answers this host, or is not known not to.
    auto isSound(framework::Instant now) const -> bool;

    /// Whether a call has failed and none was answered for some time since, so that other partitions should tell what is lost.
    auto isInDoubt(framework::Instant now) const -> bool;

    /// Whether the store answers this host; false before its first answer.
    auto isProven(framework::Instant now) const -> bool { return m_hasAnswered && isSound(now); }

    /// Whether the last call to the partition has failed.
    auto isFailing(std::string_view partition) const -> bool { return m_failures.contains(partition); }

    /// Whether a call to any partition was answered at `time` or later.
    auto hasSucceededSince(framework::Instant time) const -> bool { return m_hasAnswered && m_succeededAt >= time; }

    /// Whether any call was answered.
    auto hasAnswered() const -> bool { return m_hasAnswered; }

    /// Whether calls to the partition fail while others are answered, so that no other host's way is of use either.
    auto isFailureOfPartition(std::string_view partition, framework::Instant now) const -> bool;

    /// Those of `partitions` from which to read to tell whether the way as a whole is lost: one while nothing speaks for that, as many as
    /// have to fail once a call has, and a few if it is lost.
    auto partitionsToTry(const std::vector<std::string>& partitions, framework::Instant now) const -> std::vector<std::string>;

    /// Calls to this many partitions have to fail.
    static constexpr auto s_lostPartitions = std::size_t{12};

private:
    struct Failures
    {
        int inARow = 0;
        framework::Instant since{};
        framework::Instant avoidedUntil{};
    };

    std::map<std::string, Failures, std::less<>> m_failures; ///< by partition, until it answers
    std::set<std::string, std::less<>> m_failedSinceAnswer;  ///< partitions to which calls have failed since the last answer of any
    framework::Instant m_failingSince{};                     ///< first of these failures
    Failures m_whole;                                        ///< while the way as a whole is lost
    bool m_hasAnswered = false;
    framework::Instant m_succeededAt{};
};

} // namespace laburnummill::store
