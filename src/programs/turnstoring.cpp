#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "programs/staggeredattempts.h"
#include "programs/turnjournal.h"

#include <algorithm>

// The part of TurnJournal that writes single turns: to their own partitions, and to others while these are away.

namespace laburnummill::programs {

namespace {

using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Turns of a partition that are written elsewhere in one go.
constexpr auto s_mostWaitingWritten = std::size_t{64};

/// The state of the store is considered anew after this time.
constexpr auto s_elsewhereTimeout = Milliseconds(1'500);

} // namespace

auto TurnJournal::storeRecord(const Turn& turn, const std::string& record, std::uint32_t partition, std::vector<store::Put> further)
    -> AsyncResult<void>
{
    const auto rows = rowsOf(turn, record, m_rowBytes, partition);
    auto transactions = transactionsOf(rows.parts);
    transactions.emplace_back().puts.push_back(rows.head);
    std::ranges::move(further, std::back_inserter(transactions.back().puts));
    for (auto& transaction : transactions) {
        BOOST_OUTCOME_CO_TRY(const auto reply, co_await m_store.transact(std::move(transaction)));
        static_cast<void>(reply); // Rows of turns have no conditions.
    }
    co_return framework::success();
}

auto TurnJournal::storeElsewhere(TurnPtr turn, std::shared_ptr<const std::string> record) -> Async<bool>
{
    const auto own = partitionOfTurn(*turn);
    const auto write = [this, turn, record, own](std::uint32_t partition) -> Async<bool> {
        const auto key = ProgramKey{.account = turn->account, .program = turn->program};
        const auto program = m_table.find(key);
        auto grant = std::optional<GrantRow>();
        if (program && !m_table.areGrantsStored(*program)) {
            grant = m_table.prepareGrantRow(key, *program, partition);
        }
        auto further = grant ? std::vector{encodeGrantRow(*grant)} : std::vector<store::Put>();
        const auto stored = co_await storeRecord(*turn, *record, partition, std::move(further));
        if (stored && grant) {
            ProgramTable::onGrantRowWritten(*program, *grant);
        }
        framework::logEvent(
            framework::LogLevel::Info, "programs", "turn_stored_elsewhere",
            {{"request", turn->id}, {"partition", partition}, {"ownPartition", own}, {"isStored", static_cast<bool>(stored)}});
        co_return static_cast<bool>(stored);
    };
    const auto result = co_await attemptInTurn(m_executor, answeringAlternates(own, m_storeStatus), write, s_stagger, s_elsewhereTimeout);
    co_return result.hasSucceeded;
}

auto TurnJournal::startStoringElsewhere(const PendingWritePtr& write) -> void
{
    if (write->isBeingStoredElsewhere || write->isStoredElsewhere) {
        return;
    }
    write->isBeingStoredElsewhere = true;
    framework::spawnTask(m_executor, "store_elsewhere", [this, write]() -> Async<void> {
        const auto isStored = co_await storeElsewhere(write->turn, std::make_shared<const std::string>(write->record));
        write->isBeingStoredElsewhere = false;
        if (isStored) {
            onStoredElsewhere(write);
        }
        write->changed.cancel();
    });
}

auto TurnJournal::onStoredElsewhere(const PendingWritePtr& write) -> void
{
    write->isStoredElsewhere = true;
    m_unwritten -= write->isCounted ? 1 : 0;
    write->isCounted = false;
    if (write->isReleased || !m_unstored.isScarce()) {
        return;
    }
    auto& waiting = m_partitionQueues[partitionOfTurn(*write->turn)].waiting;
    if (const auto found = std::ranges::find(waiting, write); found != waiting.end()) {
        waiting.erase(found);
        release(write); // Whoever needs the turn finds it there.
    }
}

auto TurnJournal::storeWaitingElsewhere() -> Async<void>
{
    for (auto partition = std::uint32_t{0}; partition < s_partitionCount; ++partition) {
        if (!isAwayAlone(partition)) {
            continue;
        }
        auto waiting = std::vector<PendingWritePtr>();
        for (const auto& write : m_partitionQueues[partition].waiting) {
            const auto isInMemoryOnly = write->isCounted && !write->isBeingStoredElsewhere && !write->isStoredElsewhere;
            if (isInMemoryOnly && waiting.size() < s_mostWaitingWritten) {
                waiting.push_back(write);
            }
        }
        for (const auto& write : waiting) {
            if (!co_await storeElsewhere(write->turn, std::make_shared<const std::string>(write->record))) {
                break;
            }
            onStoredElsewhere(write);
        }
    }
}

auto TurnJournal::moveToOwnPartition(const TurnPtr& turn) -> void
{
    const auto partition = partitionOfTurn(*turn);
    if (stateFor(partition) != store::StoreState::Prompt) {
        return;
    }
    framework::spawnTask(m_executor, "move_to_own_partition", [this, turn, partition]() -> Async<void> {
        const auto stored = co_await storeRecord(*turn, encodeTurn(*turn), partition);
        framework::logEvent(framework::LogLevel::Info, "programs", "turn_moved",
                            {{"request", turn->id}, {"partition", partition}, {"isStored", static_cast<bool>(stored)}});
    });
}

} // namespace laburnummill::programs
