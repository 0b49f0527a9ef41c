#pragma once

#include "programs/turn.h"
#include "store/storetypes.h"

#include <optional>
#include <string_view>
#include <vector>

namespace laburnummill::programs {

/// Largest input of a turn that hosts keep, in bytes: its record still fits a message between hosts.
inline constexpr auto s_maxInputBytes = std::size_t{6 * 1024 * 1024};

/// Largest id of a turn or program that hosts keep, in bytes: the keys of their rows contain it.
inline constexpr auto s_maxIdBytes = std::size_t{100};

/// Whether hosts can keep a turn or program with this id: it is printable ASCII of at most s_maxIdBytes.
auto isStorableId(std::string_view id) -> bool;

/// The rows of a turn in the store. A record that exceeds a row is divided into parts. The head is written last and is proof that all
/// parts are there.
struct TurnRows
{
    std::vector<store::Put> parts;
    store::Put head;
};

/// `record`: the turn's encoded TurnRecord. `rowBytes`: the most that the store accepts as a row's value. `partition`: where they are to be
/// written.
auto rowsOf(const Turn& turn, const std::string& record, std::size_t rowBytes, std::uint32_t partition) -> TurnRows;

/// A turn's row that refers to parts.
struct DividedTurnHead
{
    std::size_t parts = 0;
    std::uint64_t digest = 0;
};

/// Returns nullopt if `bytes` are not the row of a divided turn.
auto decodeDividedHead(std::string_view bytes) -> std::optional<DividedTurnHead>;

/// The rows with the parts of a turn. The store returns them in order, as many as fit into an answer.
auto partsOf(const std::string& id, std::uint32_t partition) -> store::ListRequest;

/// Returns null if `parts` are not all parts of the turn, in order.
auto joinParts(const DividedTurnHead& head, const std::vector<store::Row>& parts) -> TurnPtr;

/// Divides the parts among transactions that the store accepts.
auto transactionsOf(const std::vector<store::Put>& parts) -> std::vector<store::Transaction>;

} // namespace laburnummill::programs
