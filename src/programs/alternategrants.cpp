#include "programs/alternategrants.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "programs/alternatepartitions.h"
#include "programs/staggeredattempts.h"

#include <algorithm>
#include <map>

namespace laburnummill::programs {

namespace {

using framework::Async;
using framework::Milliseconds;

/// The store answers in about 10 ms. Partitions that take longer are away, or it is slow.
constexpr auto s_readWait = Milliseconds(100);
constexpr auto s_readWaitIfSlow = Milliseconds(1'000);

/// A turn waits for no longer.
constexpr auto s_recordTimeout = Milliseconds(1'000);

/// Rows of a transaction that removes some; the store accepts 100 entries.
constexpr auto s_mostRemovals = std::size_t{100};

} // namespace

AlternateGrants::AlternateGrants(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store,
                                 const store::IStoreStatus& storeStatus, const framework::IClock& clock)
    : m_executor(std::move(executor))
    , m_table(table)
    , m_store(store)
    , m_storeStatus(storeStatus)
    , m_clock(clock)
    , m_readEnded(m_executor)
{}

auto AlternateGrants::isAway(std::uint32_t partition) const -> bool
{
    return m_storeStatus.state(partitionName(partition)) == store::StoreState::Away;
}

auto AlternateGrants::isSlow() const -> bool
{
    const auto& others = alternatesOf(0);
    return std::ranges::any_of(
        others, [this](std::uint32_t partition) { return m_storeStatus.state(partitionName(partition)) == store::StoreState::Slow; });
}

auto AlternateGrants::read() -> Async<void>
{
    if (m_reads.count() == 0) {
        m_readSince = m_clock.now();
        for (auto partition = std::uint32_t{0}; partition < s_partitionCount; ++partition) {
            if (m_read.test(partition) || isAway(partition)) {
                continue;
            }
            framework::spawnTask(m_executor, "read_grants",
                                 [this, partition, reading = std::optional(m_reads.begin())]() mutable -> Async<void> {
                                     m_read.set(partition, co_await readPartition(partition));
                                     reading.reset(); // Before those who wait look at the count.
                                     m_readEnded.notify();
                                 });
        }
    }
    const auto until = [this] { return m_readSince + (isSlow() ? s_readWaitIfSlow : s_readWait); };
    while (!m_read.all() && m_reads.count() > 0 && m_clock.now() < until()) {
        co_await m_readEnded.wait(s_readWait);
    }
}

auto AlternateGrants::readPartition(std::uint32_t partition) -> Async<bool>
{
    auto request = grantRowsIn(partition);
    for (auto hasMore = true; hasMore;) {
        const auto page = co_await m_store.list(request);
        if (!page) {
            co_return false;
        }
        for (const auto& row : page.value().rows) {
            addRow(row);
        }
        hasMore = page.value().hasMore && !page.value().rows.empty();
        request.from = hasMore ? store::keyAfter(page.value().rows.back().address.key) : std::string();
    }
    co_return true;
}

auto AlternateGrants::addRow(const store::Row& row) -> void
{
    const auto grant = decodeGrantRow(row);
    const auto now = static_cast<std::uint64_t>(framework::unixMilliseconds(m_clock.wallTime()));
    const auto isExpired = !grant || grant->writtenAt + static_cast<std::uint64_t>(m_retention.count()) < now;
    framework::logEvent(framework::LogLevel::Info, "programs", "grant_read",
                        {{"row", row.address.key},
                         {"partition", row.address.partition},
                         {"program", grant ? grant->key.program : std::string()},
                         {"tokens", grant ? grant->holding.granted() : 0},
                         {"isExpired", isExpired}});
    if (isExpired) {
        m_table.addDispensableRow(row.address);
    } else {
        m_table.addEntryElsewhere(*grant);
    }
}

auto AlternateGrants::record(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    const auto write = [this, key, program](std::uint32_t partition) -> Async<bool> {
        const auto grant = m_table.prepareGrantRow(key, *program, partition);
        const auto reply = co_await m_store.transact({.conditions = {}, .puts = {encodeGrantRow(grant)}, .removals = {}});
        framework::logEvent(framework::LogLevel::Info, "programs", "grant_recorded_elsewhere",
                            {{"program", key.program},
                             {"partition", grant.address.partition},
                             {"tokens", grant.holding.granted()},
                             {"isWritten", static_cast<bool>(reply)}});
        if (reply) {
            ProgramTable::onGrantRowWritten(*program, grant);
        }
        co_return m_table.areGrantsStored(*program);
    };
    if (!m_table.areGrantsStored(*program)) {
        co_await attemptInTurn(m_executor, answeringAlternates(partitionOf(key), m_storeStatus), write, s_stagger, s_recordTimeout);
    }
    co_return m_table.areGrantsStored(*program);
}

auto AlternateGrants::removeDispensable() -> Async<void>
{
    auto removals = std::map<std::string, std::vector<store::RowAddress>>();
    for (auto& row : m_table.takeDispensableRows()) {
        auto& rows = removals[row.partition];
        if (rows.size() < s_mostRemovals && m_storeStatus.state(row.partition) == store::StoreState::Prompt) {
            rows.push_back(std::move(row));
        } else {
            m_table.addDispensableRow(std::move(row)); // Later.
        }
    }
    for (auto& [partition, rows] : removals) {
        if (rows.empty()) {
            continue;
        }
        const auto reply = co_await m_store.transact({.conditions = {}, .puts = {}, .removals = rows});
        if (!reply) {
            for (auto& row : rows) {
                m_table.addDispensableRow(std::move(row));
            }
        }
    }
}

} // namespace laburnummill::programs
