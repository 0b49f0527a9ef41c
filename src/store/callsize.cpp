#include "store/callsize.h"

namespace laburnummill::store {

namespace {

/// Limits of the store on one call, in entries and bytes; some bytes are left for the call's frame.
constexpr auto s_maxCallEntries = std::size_t{100};
constexpr auto s_maxCallBytes = std::size_t{950'000};

/// Table, partition and key of an entry with their field names; ids and accounts are limited in length.
constexpr auto s_entryOverheadBytes = std::size_t{400};

} // namespace

auto CallSize::bytesOf(std::size_t valueBytes) -> std::size_t
{
    return (valueBytes + 2) / 3 * 4 + s_entryOverheadBytes;
}

auto CallSize::bytesOf(const Transaction& transaction) -> std::size_t
{
    auto bytes = (transaction.conditions.size() + transaction.removals.size()) * s_entryOverheadBytes;
    for (const auto& put : transaction.puts) {
        bytes += bytesOf(put.value.size());
    }
    return bytes;
}

auto CallSize::entriesOf(const Transaction& transaction) -> std::size_t
{
    return transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
}

auto CallSize::fits(std::size_t bytes, std::size_t entries) const -> bool
{
    return m_entries == 0 || (m_bytes + bytes <= s_maxCallBytes && m_entries + entries <= s_maxCallEntries);
}

auto CallSize::add(std::size_t bytes, std::size_t entries) -> void
{
    m_bytes += bytes;
    m_entries += entries;
}

} // namespace laburnummill::store
