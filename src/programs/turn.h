#pragma once

#include "framework/global/result.h"
#include "framework/global/time.h"
#include "store/storetypes.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnummill::programs {

/// Partitions of the store over which turns and programs are spread.
inline constexpr auto s_partitions = std::uint32_t{16};

/// Names a program of a client account.
struct ProgramKey
{
    std::string account;
    std::string program;

    auto operator<=>(const ProgramKey&) const = default;
};

/// The partition that holds a program's row and its turns.
auto partitionOf(const ProgramKey& key) -> std::uint32_t;

/// Name of a partition in the store.
auto partitionName(std::uint32_t partition) -> std::string;

/// Where a turn's row lies.
auto turnRow(const std::string& id, std::uint32_t partition) -> store::RowAddress;

/// A turn that another one continues.
struct Ancestor
{
    std::string id;
    std::uint32_t partition = 0;

    auto operator==(const Ancestor&) const -> bool = default;
};

/// One turn of a program: what came in, what the engine answered, and the turns that it continues.
struct Turn
{
    std::string id;
    std::string account;
    std::string program;
    std::vector<Ancestor> ancestors; ///< oldest first
    std::string input;
    std::string output;  ///< data of each event, each followed by a line feed
    int tokens = 0;      ///< generated
    std::string backend; ///< that ran it and may hold its text in memory
};

using TurnPtr = std::shared_ptr<const Turn>;

/// A turn as it stands in the store.
auto encodeTurn(const Turn& turn) -> std::string;

/// Nothing where `bytes` are not a turn.
auto decodeTurn(std::string_view bytes) -> TurnPtr;

/// Turns in memory, bounded in bytes; those used longest ago leave first.
class TurnCache
{
public:
    explicit TurnCache(std::size_t byteLimit);

    auto put(TurnPtr turn) -> void;
    auto find(std::string_view id) -> TurnPtr;

    auto bytes() const -> std::size_t { return m_bytes; }

private:
    struct Entry
    {
        TurnPtr turn;
        std::list<std::string>::iterator use;
    };

    std::size_t m_byteLimit;
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, Entry> m_turns;
    std::list<std::string> m_uses; ///< ids, latest first
};

} // namespace laburnummill::programs
