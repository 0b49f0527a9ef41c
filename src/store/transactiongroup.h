#pragma once

#include "store/callsize.h"
#include "store/storetypes.h"

#include <optional>
#include <set>
#include <vector>

namespace laburnummill::store {

/// Transactions of one partition that are written by one call. Performs no I/O.
class TransactionGroup
{
public:
    /// Adds a transaction unless it has rows in common with another one or the call would exceed the store's limits; returns whether it
    /// was added.
    auto add(const Transaction& transaction) -> bool;

    auto size() const -> std::size_t { return m_members.size(); }

    /// All of them as one.
    auto merged() const -> Transaction;

    /// The reply to each of them, in the order in which they were added, by the store's reply to all. A transaction without one is to be
    /// tried again: it was not applied for the conditions of others.
    auto split(const TransactionReply& reply) const -> std::vector<std::optional<TransactionReply>>;

private:
    std::vector<Transaction> m_members;
    std::set<RowAddress> m_rows;
    CallSize m_size;
};

} // namespace laburnummill::store
