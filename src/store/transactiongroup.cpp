#include "store/transactiongroup.h"

#include <algorithm>

namespace laburnummill::store {

namespace {

auto rowsOf(const Transaction& transaction) -> std::set<RowAddress>
{
    auto rows = std::set<RowAddress>(transaction.removals.begin(), transaction.removals.end());
    std::ranges::for_each(transaction.conditions, [&rows](const auto& condition) { rows.insert(condition.address); });
    std::ranges::for_each(transaction.puts, [&rows](const auto& put) { rows.insert(put.address); });
    return rows;
}

/// The reply to one transaction of a group that was not applied.
auto replyTo(const Transaction& member, const TransactionReply& reply) -> TransactionReply
{
    auto own = TransactionReply{.isApplied = false, .version = reply.version, .currentRows = {}};
    for (const auto& row : reply.currentRows) {
        if (std::ranges::any_of(member.conditions, [&row](const auto& condition) { return condition.address == row.address; })) {
            own.currentRows.push_back(row);
        }
    }
    return own;
}

auto doConditionsHold(const Transaction& member, const std::vector<Row>& rows) -> bool
{
    return std::ranges::all_of(member.conditions, [&rows](const auto& condition) {
        const auto found = std::ranges::find(rows, condition.address, &Row::address);
        const auto isAbsent = found == rows.end() || found->isRemoved;
        return condition.version == (isAbsent ? s_absentRow : found->version);
    });
}

} // namespace

auto TransactionGroup::add(const Transaction& transaction) -> bool
{
    const auto bytes = CallSize::bytesOf(transaction);
    const auto entries = CallSize::entriesOf(transaction);
    auto rows = rowsOf(transaction);
    if (!m_size.fits(bytes, entries) || std::ranges::any_of(rows, [this](const auto& row) { return m_rows.contains(row); })) {
        return false;
    }
    m_size.add(bytes, entries);
    m_rows.merge(rows);
    m_members.push_back(transaction);
    return true;
}

auto TransactionGroup::merged() const -> Transaction
{
    auto all = Transaction();
    for (const auto& member : m_members) {
        all.conditions.insert(all.conditions.end(), member.conditions.begin(), member.conditions.end());
        all.puts.insert(all.puts.end(), member.puts.begin(), member.puts.end());
        all.removals.insert(all.removals.end(), member.removals.begin(), member.removals.end());
    }
    return all;
}

auto TransactionGroup::split(const TransactionReply& reply) const -> std::vector<std::optional<TransactionReply>>
{
    auto replies = std::vector<std::optional<TransactionReply>>();
    const auto holds = [&reply](const Transaction& member) { return doConditionsHold(member, reply.currentRows); };
    const auto isAnyAtFault = !std::ranges::all_of(m_members, holds);
    for (const auto& member : m_members) {
        if (reply.isApplied) {
            replies.emplace_back(reply);
        } else if (isAnyAtFault && holds(member)) {
            replies.emplace_back(std::nullopt);
        } else {
            replies.emplace_back(replyTo(member, reply));
        }
    }
    return replies;
}

} // namespace laburnummill::store
