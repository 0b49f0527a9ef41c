#pragma once

#include "framework/global/json.h"
#include "platform/platformtypes.h"
#include "programs/internal/turnrecord.h"

#include <string>
#include <vector>

namespace laburnummill::programs {

/// A program's row in the table service: the end of its history and the batches that contain it. A turn is committed once
/// the row's `head` is its digest or that of a later turn.
struct ProgramRow
{
    std::string account;
    std::string owner;              ///< host and incarnation that last wrote the row
    std::uint64_t fencing = 0;      ///< fencing number under which the row was written
    std::uint32_t turns = 0;        ///< without sub-agents
    std::uint64_t tokens = 0;       ///< without sub-agents
    std::uint32_t familyTurns = 0;  ///< in a root's row: including all sub-agents
    std::uint64_t familyTokens = 0; ///< in a root's row: including all sub-agents
    std::uint64_t startedAtMs = 0;  ///< Unix time
    std::uint64_t lastAtMs = 0;     ///< Unix time of the last turn
    bool ended = false;
    std::string head;                 ///< digest of the last turn
    std::vector<std::string> batches; ///< names of the objects that contain the turns

    auto operator==(const ProgramRow&) const -> bool = default;
};

auto rowKeyOf(const std::string& program) -> platform::RowKey;
auto toText(const ProgramRow& row) -> std::string;
auto rowFromText(const std::string& text) -> ProgramRow;

/// The root program of `program`; `program` itself if it is not a sub-agent. Ids are "<data centre>.<random>[.<random>]".
auto rootOf(const std::string& program) -> std::string;

/// Adds a turn whose record is in `batch`.
auto append(ProgramRow& row, const ChainLink& link, const std::string& batch) -> void;

/// Whether the program has ended or expired, that is, `expiryMs` have passed since its last turn.
auto isFinished(const ProgramRow& row, std::uint64_t wallMs, std::uint64_t expiryMs) -> bool;

} // namespace laburnummill::programs
