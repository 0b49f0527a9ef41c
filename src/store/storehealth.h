#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace laburnummill::store {

/// What recent calls tell of the store.
enum class StoreState
{
    Prompt, ///< it answers in time
    Slow,   ///< it answers late
    Away,   ///< it does not answer, or refuses all calls
};

inline constexpr auto s_storeStateNames = framework::NameTable<StoreState, 3>{{
    {StoreState::Prompt, "prompt"},
    {StoreState::Slow, "slow"},
    {StoreState::Away, "away"},
}};

/// The state of the store as seen from this host.
class IStoreStatus
{
public:
    virtual ~IStoreStatus() = default;

    /// The store may be away for some of its partitions only.
    virtual auto state(std::string_view partition) const -> StoreState = 0;

    /// Whether the store answers calls to other partitions while it is away for this one, so that no other host reaches this one either.
    virtual auto isAwayAlone(std::string_view partition) const -> bool = 0;

    /// Returns when a store that was away answers again, or after `timeout`.
    virtual auto awaitReturn(framework::Milliseconds timeout) -> framework::Async<void> = 0;
};

/// Derives the state of the store from the calls of this host. Performs no I/O.
///
/// A single call without an answer does not tell a store that is away from one that is slow or loses answers: answers to other calls do.
class StoreHealth
{
public:
    using CallId = std::uint64_t;

    /// `clock`: should not count the time in which this host does not handle answers, see framework::ResponsiveClock.
    explicit StoreHealth(const framework::IClock& clock);

    auto begin(std::string_view partition) -> CallId;

    /// `error`: of the call; none if it was answered as asked.
    auto end(CallId call, const std::error_code& error) -> void;

    /// Forgets a call that says nothing about the store.
    auto abandon(CallId call) -> void { m_open.erase(call); }

    auto state(std::string_view partition) const -> StoreState;

    /// Whether the store has lately answered calls to other partitions that followed one to this partition that is without an answer.
    auto isAwayAlone(std::string_view partition) const -> bool;

    /// Takes over the partitions that do not answer other hosts, as these report. Such a report is no proof, but this host then need not
    /// wait for long to find the same.
    auto setReportedAway(std::vector<std::string> partitions) -> void { m_reportedAway = std::move(partitions); }

    /// Partitions with calls of this host for which the store is away.
    auto awayPartitions() const -> std::vector<std::string>;

    /// Whether the store has answered no call to any partition for `time` in which one was without an answer, or one had failed.
    auto isSilentFor(framework::Milliseconds time) const -> bool;

    /// Whether the store has lately answered late, in any partition.
    auto isSlow() const -> bool;

private:
    struct Call
    {
        std::string partition;
        framework::Instant startedAt{};
    };

    struct Partition
    {
        framework::Instant answeredAt{};
        framework::Instant failedFrom{}; ///< start of the first call that failed since the last answer
        bool hasFailed = false;          ///< no call was answered since one failed
    };

    /// When the store counts as away if the call is still without an answer.
    auto awayFrom(const Call& call, bool isLate) const -> framework::Instant;
    auto onAnswered(const Call& call, bool wasAway, framework::Instant now) -> void;

    const framework::IClock& m_clock;
    CallId m_lastCall = 0;
    std::map<CallId, Call> m_open; ///< oldest first
    std::map<std::string, Partition, std::less<>> m_partitions;
    std::vector<std::string> m_reportedAway;
    framework::Instant m_answeredAt{}; ///< in any partition
    framework::Instant m_lateAt{};     ///< of the last late answer
    bool m_isLate = false;             ///< no prompt answer has followed it
};

} // namespace laburnummill::store
