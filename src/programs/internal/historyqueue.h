#pragma once

#include "programs/internal/owneractions.h"

#include <deque>
#include <functional>
#include <set>

namespace laburnummill::programs {

/// Settings for batching and writing turn records.
struct HistoryQueueSettings
{
    std::string objectPrefix;                          ///< unique to this incarnation of the daemon
    framework::Milliseconds interval{50};              ///< between the starts of two batches: this writer's share of the write limit
    framework::Milliseconds probeInterval{500};        ///< between attempts while the store is down
    framework::Milliseconds slowBatchThreshold{1'000}; ///< the store counts as down if a write takes longer
    std::size_t maxBatchBytes = 4ULL * 1024 * 1024;    ///< of records in one object
    std::size_t maxBytes = 4ULL * 1024 * 1024;         ///< limit for waiting records; further calls are refused before they run
};

/// A turn record that waits for its commit.
struct QueuedRecord
{
    ChainLink link;
    bool isHeld = false;          ///< by enough peers
    bool isHoldRequested = false; ///< peers were requested to hold it
};

/// The owner's queue of turn records. A batch holds records of several programs. Only one batch is written at a time; the next one
/// starts once that is finished and the minimum interval has passed. Also tracks whether the store accepts writes.
class HistoryQueue
{
public:
    explicit HistoryQueue(HistoryQueueSettings settings);

    auto add(ChainLink link) -> void;

    /// Whether the queue has room for another record of `bytes`.
    auto hasRoom(std::size_t bytes) const -> bool { return m_bytes + bytes <= m_settings.maxBytes; }

    /// Whether no batch is in flight and the minimum interval has passed.
    auto canStartBatch(framework::Instant now) const -> bool;
    auto isBatchDue(framework::Instant now) const -> bool { return !m_records.empty() && canStartBatch(now); }

    /// Returns the records of the next batch and marks it as in flight. The records stay in the queue until they are removed.
    auto startBatch(framework::Instant now) -> std::vector<ChainLink>;

    /// Object name of the batch that was started last.
    auto objectName() const -> std::string;

    /// Marks the batch as finished; `isStoreUp` is whether its result shows that the store accepts writes.
    auto finishBatch(bool isStoreUp) -> void;

    /// Removes and returns a record; nullopt if it is not in the queue.
    auto remove(const std::string& program, std::uint32_t turn) -> std::optional<QueuedRecord>;

    /// All records of a program, ordered by turn.
    auto recordsOf(const std::string& program) const -> std::vector<ChainLink>;
    auto contains(const std::string& program) const -> bool { return m_programs.contains(program); }

    /// Returns the records that peers should now hold because the store is down or too slow, and marks them as requested.
    auto takeRecordsToHold(framework::Instant now) -> std::vector<HoldRecord>;
    auto retryHold(const std::string& program, std::uint32_t turn) -> void;
    auto markHeld(const std::string& program, std::uint32_t turn) -> void;

    /// Whether writes fail or take too long.
    auto isStoreDown(framework::Instant now) const -> bool;

    auto isBatchInFlight() const -> bool { return m_isBatchInFlight; }
    auto size() const -> std::size_t { return m_records.size(); }
    auto bytes() const -> std::size_t { return m_bytes; }

private:
    auto find(const std::string& program, std::uint32_t turn) -> std::deque<QueuedRecord>::iterator;

    HistoryQueueSettings m_settings;
    std::deque<QueuedRecord> m_records;
    std::multiset<std::string> m_programs;
    std::size_t m_bytes = 0;
    std::uint64_t m_batches = 0;
    bool m_isBatchInFlight = false;
    bool m_isStoreUp = true;
    framework::Instant m_batchStartedAt = framework::Instant::min();
};

} // namespace laburnummill::programs
