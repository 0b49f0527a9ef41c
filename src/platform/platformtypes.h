#pragma once

#include "framework/http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::platform {

/// Names a row of the table service.
struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey&) const = default;
};

/// A row as read. Versions rise with every write of the row and are never used again.
struct Row
{
    RowKey key;
    std::string value;
    std::uint64_t version = 0;

    auto operator==(const Row&) const -> bool = default;
};

/// The version of a row that does not exist.
inline constexpr auto s_absent = std::uint64_t{0};

/// One write of a transaction: takes effect only where the row is at `expected` (absent: 0; any: nothing).
struct RowChange
{
    RowKey key;
    std::optional<std::uint64_t> expected;
    std::optional<std::string> value; ///< nothing deletes the row

    auto operator==(const RowChange&) const -> bool = default;
};

/// A range of one table's rows in the order of their keys.
struct ScanRequest
{
    std::string table;
    std::string prefix;
    std::string after; ///< keys greater than this; empty from the start
    std::size_t limit = 1'000;
};

enum class HostState
{
    Live,
    Leaving,
};

/// One line of the platform's list of hosts, which lags behind the truth.
struct HostEntry
{
    std::string host;
    std::string dataCentre;
    HostState state = HostState::Live;

    auto operator==(const HostEntry&) const -> bool = default;
};

} // namespace laburnummill::platform
