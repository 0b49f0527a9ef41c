#include "programs/internal/historyqueue.h"

#include <algorithm>

namespace laburnummill::programs {

using framework::Instant;

HistoryQueue::HistoryQueue(HistoryQueueSettings settings)
    : m_settings(std::move(settings))
{}

auto HistoryQueue::add(ChainLink link) -> void
{
    m_bytes += link.line.size();
    m_programs.insert(link.record.program);
    m_records.push_back({std::move(link), false, false});
}

auto HistoryQueue::canStartBatch(Instant now) const -> bool
{
    const auto pause = m_isStoreUp ? m_settings.interval : m_settings.probeInterval;
    return !m_isBatchInFlight && (m_batchStartedAt == Instant::min() || now >= m_batchStartedAt + pause);
}

auto HistoryQueue::startBatch(Instant now) -> std::vector<ChainLink>
{
    m_isBatchInFlight = true;
    m_batchStartedAt = now;
    ++m_batches;
    auto links = std::vector<ChainLink>();
    auto bytes = std::size_t{0};
    for (const auto& record : m_records) {
        bytes += record.link.line.size();
        if (!links.empty() && bytes > m_settings.maxBatchBytes) {
            break;
        }
        links.push_back(record.link);
    }
    return links;
}

auto HistoryQueue::objectName() const -> std::string
{
    return m_settings.objectPrefix + std::to_string(m_batches);
}

auto HistoryQueue::finishBatch(bool isStoreUp) -> void
{
    m_isBatchInFlight = false;
    m_isStoreUp = isStoreUp;
}

auto HistoryQueue::find(const std::string& program, std::uint32_t turn) -> std::deque<QueuedRecord>::iterator
{
    return std::ranges::find_if(
        m_records, [&](const auto& queued) { return queued.link.record.turn == turn && queued.link.record.program == program; });
}

auto HistoryQueue::remove(const std::string& program, std::uint32_t turn) -> std::optional<QueuedRecord>
{
    const auto found = find(program, turn);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    auto removed = std::move(*found);
    m_records.erase(found);
    m_programs.erase(m_programs.find(program));
    m_bytes -= removed.link.line.size();
    return removed;
}

auto HistoryQueue::recordsOf(const std::string& program) const -> std::vector<ChainLink>
{
    auto links = std::vector<ChainLink>();
    for (const auto& queued : m_records) {
        if (queued.link.record.program == program) {
            links.push_back(queued.link);
        }
    }
    return links;
}

auto HistoryQueue::isStoreDown(Instant now) const -> bool
{
    return !m_isStoreUp || (m_isBatchInFlight && now >= m_batchStartedAt + m_settings.slowBatchThreshold);
}

auto HistoryQueue::takeRecordsToHold(Instant now) -> std::vector<HoldRecord>
{
    auto records = std::vector<HoldRecord>();
    if (!isStoreDown(now)) {
        return records;
    }
    for (auto& queued : m_records) {
        if (!queued.isHoldRequested) {
            queued.isHoldRequested = true;
            records.push_back({queued.link.record.program, queued.link.record.turn, queued.link.line, 0});
        }
    }
    return records;
}

auto HistoryQueue::retryHold(const std::string& program, std::uint32_t turn) -> void
{
    if (const auto found = find(program, turn); found != m_records.end()) {
        found->isHoldRequested = false;
    }
}

auto HistoryQueue::markHeld(const std::string& program, std::uint32_t turn) -> void
{
    if (const auto found = find(program, turn); found != m_records.end()) {
        found->isHeld = true;
    }
}

} // namespace laburnummill::programs
