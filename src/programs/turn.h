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

/// Number of store partitions that turns and programs are distributed over.
inline constexpr auto s_partitionCount = std::uint32_t{16};

/// Identifies a program of a client account.
struct ProgramKey
{
    std::string account;
    std::string program;

    auto operator<=>(const ProgramKey&) const = default;
};

/// Which side keeps the text of a program's earlier turns.
enum class TurnHistory
{
    KeptByHosts,  ///< a turn names the turn that it continues, and its text is stored
    SentByCaller, ///< each turn carries the whole text itself
};

/// What a turn needs from the budget of its program.
struct TokenDemand
{
    std::uint64_t budget = 0;    ///< of the whole program
    std::uint64_t maxTokens = 0; ///< maximum number of tokens that the turn generates
    /// The turn has no predecessor in the program. If the history is sent by the caller, turns do not tell, and this is false.
    bool isFirstTurn = false;
    bool continuesProgram = false; ///< the turn continues one of the same program
    TurnHistory history = TurnHistory::KeptByHosts;
    framework::Instant endBy{}; ///< until when the turn may wait for a slow store; the epoch if its host asks again
};

/// The partition that holds a program's row and its turns.
auto partitionOf(const ProgramKey& key) -> std::uint32_t;

auto partitionName(std::uint32_t partition) -> std::string;

/// Address of a turn's row.
auto turnRow(const std::string& id, std::uint32_t partition) -> store::RowAddress;

/// A turn that another turn continues.
struct Ancestor
{
    std::string id;
    std::uint32_t partition = 0;

    auto operator==(const Ancestor&) const -> bool = default;
};

/// One turn of a program: input, answer of the engine, and the turns that it continues.
struct Turn
{
    std::string id;
    std::string account;
    std::string program;
    std::vector<Ancestor> ancestors; ///< oldest first
    std::string input;
    std::string output;  ///< data of each event, each followed by a line feed
    int tokens = 0;      ///< generated
    std::string backend; ///< engine that ran the turn and may still have it in its cache
};

using TurnPtr = std::shared_ptr<const Turn>;

/// The partition that holds a turn's row.
auto partitionOfTurn(const Turn& turn) -> std::uint32_t;

/// Encodes a turn as a TurnRecord for the store.
auto encodeTurn(const Turn& turn) -> std::string;

/// Returns null if `bytes` are not a valid TurnRecord.
auto decodeTurn(std::string_view bytes) -> TurnPtr;

/// LRU cache of turns, limited in bytes.
class TurnCache
{
public:
    explicit TurnCache(std::size_t byteLimit);

    auto put(TurnPtr turn) -> void;
    /// Returns null if the turn is not cached.
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
    std::list<std::string> m_uses; ///< ids, most recently used first
};

} // namespace laburnummill::programs
