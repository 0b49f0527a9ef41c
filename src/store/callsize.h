#pragma once

#include "store/storetypes.h"

#include <cstddef>

namespace laburnummill::store {

/// Counts the entries and bytes of one call, which the store limits.
class CallSize
{
public:
    /// Whether the call can take further entries. The first ones always fit: a row is smaller than a call.
    auto fits(std::size_t bytes, std::size_t entries) const -> bool;
    auto add(std::size_t bytes, std::size_t entries) -> void;

    /// Bytes of a row with a value of `valueBytes` in a call, with its encoding and names.
    static auto bytesOf(std::size_t valueBytes) -> std::size_t;

    static auto bytesOf(const Transaction& transaction) -> std::size_t;
    static auto entriesOf(const Transaction& transaction) -> std::size_t;

private:
    std::size_t m_bytes = 0;
    std::size_t m_entries = 0;
};

} // namespace laburnummill::store
