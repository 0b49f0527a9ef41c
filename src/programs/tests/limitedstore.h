#pragma once

#include "framework/global/async.h"
#include "store/istore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace laburnummill::programs::testing {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Rejects calls over its limits, and rows that it is told to reject.
class LimitedStore final : public store::IStore
{
public:
    static constexpr auto s_rowBytes = std::size_t{65'536};

    auto transact(store::Transaction transaction) -> AsyncResult<store::TransactionReply> override
    {
        if (isAway || awayPartitions.contains(store::partitionOf(transaction))) {
            co_return store::StoreError::Unavailable;
        }
        auto atOnce = std::size_t{0};
        std::ranges::for_each(transaction.puts, [&atOnce](const auto& put) { atOnce += put.value.size() * 4 / 3; });
        m_bytesAtOnce += atOnce;
        mostBytesAtOnce = std::max(mostBytesAtOnce, m_bytesAtOnce);
        const auto isTaken = co_await takeTurn(store::partitionOf(transaction));
        m_bytesAtOnce -= atOnce;
        if (!isTaken) {
            ++overloads;
            co_return store::StoreError::Overloaded;
        }
        auto bytes = std::size_t{0};
        auto isRejected = transaction.puts.size() + transaction.conditions.size() + transaction.removals.size() > 100;
        for (const auto& put : transaction.puts) {
            bytes += put.value.size() * 4 / 3 + put.address.table.size() + put.address.key.size() + 60;
            isRejected = isRejected || put.value.size() * 4 / 3 > s_rowBytes || put.address.key.size() > 200 || rejects(put);
        }
        if (isRejected || bytes > 1'000'000) {
            ++rejections;
            co_return store::StoreError::Rejected;
        }
        auto reply = store::TransactionReply{.isApplied = true, .version = 0, .currentRows = {}};
        for (const auto& condition : transaction.conditions) {
            const auto found = rows.find(condition.address);
            reply.isApplied = reply.isApplied && condition.version == (found == rows.end() ? store::s_absentRow : found->second.version);
            if (found != rows.end()) {
                reply.currentRows.push_back(found->second);
            }
        }
        if (reply.isApplied) {
            reply.version = ++version;
            for (const auto& put : transaction.puts) {
                rows[put.address] = {.address = put.address, .value = put.value, .version = version};
            }
            std::ranges::for_each(transaction.removals, [this](const auto& address) { rows.erase(address); });
        }
        co_await pause(answerTime);
        co_return reply;
    }

    auto list(store::ListRequest request) -> AsyncResult<store::RowPage> override
    {
        if (isAway || awayPartitions.contains(request.partition)) {
            co_return store::StoreError::Unavailable;
        }
        co_await pause(answerTime);
        auto page = store::RowPage{.rows = {}, .version = version, .hasMore = false};
        auto bytes = std::size_t{0};
        for (const auto& [address, row] : rows) {
            if (address.table != request.table || address.partition != request.partition || address.key < request.from ||
                (!request.to.empty() && address.key >= request.to)) {
                continue;
            }
            bytes += row.value.size() * 4 / 3;
            if (page.rows.size() >= static_cast<std::size_t>(request.limit) || (bytes > 1'000'000 && !page.rows.empty())) {
                page.hasMore = true;
                break;
            }
            page.rows.push_back(row);
        }
        co_return page;
    }

    auto turns() const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count_if(rows, [](const auto& row) { return row.first.table == "turns"; }));
    }

    auto hasTurn(const std::string& id) const -> bool
    {
        return std::ranges::any_of(rows, [&id](const auto& row) { return row.first.table == "turns" && row.first.key == id; });
    }

    /// The partitions with rows of turns of this id.
    auto partitionsWithTurn(const std::string& id) const -> std::set<std::string>
    {
        auto partitions = std::set<std::string>();
        for (const auto& [address, row] : rows) {
            if (address.table == "turns" && address.key == id) {
                partitions.insert(address.partition);
            }
        }
        return partitions;
    }

    bool isAway = false;
    std::set<std::string> awayPartitions; ///< that refuse all calls
    Milliseconds transactionTime{0};      ///< of one transaction; those of a partition wait for each other
    Milliseconds answerTime{0};           ///< from the end of a call to its answer
    int overloads = 0;                    ///< transactions refused because of those that wait
    std::size_t mostBytesAtOnce = 0;      ///< of the transactions that were under way at the same time
    std::function<bool(const store::Put&)> rejects = [](const store::Put&) { return false; };
    int rejections = 0;
    std::uint64_t version = 0;
    std::map<store::RowAddress, store::Row> rows;

private:
    static auto pause(Milliseconds time) -> Async<void>
    {
        if (time.count() > 0) {
            auto timer = asio::steady_timer(co_await asio::this_coro::executor, time);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    /// Waits for the earlier transactions of the partition and runs; false if over a second of these wait.
    auto takeTurn(const std::string& partition) -> Async<bool>
    {
        const auto now = std::chrono::steady_clock::now();
        auto& free = m_freeAt[partition];
        if (free > now + Milliseconds(1'000)) {
            co_return false;
        }
        free = std::max(free, now) + transactionTime;
        co_await pause(std::chrono::ceil<Milliseconds>(free - now));
        co_return true;
    }

    std::map<std::string, std::chrono::steady_clock::time_point> m_freeAt;
    std::size_t m_bytesAtOnce = 0;
};

} // namespace laburnummill::programs::testing
