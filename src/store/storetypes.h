#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace laburnummill::store {

/// Names a row. Rows of one partition are written together.
struct RowAddress
{
    std::string table;
    std::string partition; ///< may be empty
    std::string key;

    auto operator<=>(const RowAddress&) const = default;
};

/// A row as read. Versions come from one counter of the store that rises with each transaction.
struct Row
{
    RowAddress address;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false; ///< in changes only: the row is gone
};

/// The version of a row that does not exist.
inline constexpr auto s_absentRow = std::uint64_t{0};

/// A key that sorts directly after `key` among those in use, in byte order.
inline auto keyAfter(const std::string& key) -> std::string
{
    return key + '!';
}

/// A row that must stand at a version for a transaction to take effect.
struct Condition
{
    RowAddress address;
    std::uint64_t version = s_absentRow;
};

struct Put
{
    RowAddress address;
    std::string value;
};

/// Writes of one partition: all take effect, or none.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<RowAddress> removals;
};

/// All rows of a transaction are in one partition. That of the operator's and the hosts' rows has no name.
inline auto partitionOf(const Transaction& transaction) -> std::string
{
    return !transaction.puts.empty()         ? transaction.puts.front().address.partition
           : !transaction.conditions.empty() ? transaction.conditions.front().address.partition
           : !transaction.removals.empty()   ? transaction.removals.front().partition
                                             : std::string();
}

/// What became of a transaction that the store decided on.
struct TransactionReply
{
    bool isApplied = false;
    std::uint64_t version = 0;    ///< of the rows put, where applied
    std::vector<Row> currentRows; ///< rows of the conditions, where not applied
};

/// Rows of one partition with `from` <= key < `to`.
struct ListRequest
{
    std::string table;
    std::string partition;
    std::string from; ///< empty from the start
    std::string to;   ///< empty to the end
    int limit = 500;
    /// Rows with a value that is not encoded as the store encodes it are returned with an empty one, in place of an error for all rows.
    bool acceptsUnreadableRows = false;
};

struct RowPage
{
    std::vector<Row> rows; ///< as of a single moment, in the order of their keys
    std::uint64_t version = 0;
    bool hasMore = false;
};

/// Changes of a table after a version.
struct ChangesRequest
{
    std::string table;
    std::uint64_t after = 0;
    int waitMilliseconds = 0; ///< that the store may hold the call until there is a change
};

} // namespace laburnummill::store
