#pragma once

#include "calls/calltypes.h"
#include "platform/platformtypes.h"
#include "programs/internal/programrow.h"
#include "programs/iprograms.h"

#include <variant>

namespace laburnummill::programs {

/// The time of an event: monotonic for time-outs, Unix milliseconds for stored data.
struct Moment
{
    framework::Instant now;
    std::uint64_t wallMs = 0;
};

/// Identifies a waiting caller.
using Ticket = std::uint64_t;

/// Read the program's row, the batches that it lists and, if `askPeers` is set, the records that peers hold.
struct LoadProgram
{
    std::string program;
    std::uint64_t fencing = 0; ///< from then on peers refuse records of older owners
    bool askPeers = true;
};

/// Write one row: that of a new program, or the first one under a new fencing number.
struct WriteRow
{
    std::string program;
    platform::RowChange change;
};

/// Run a call; `call.body` carries the whole history.
struct RunCall
{
    Ticket ticket = 0;
    ProgramCall call;
};

/// Store the object, then write the rows in one transaction.
struct WriteBatch
{
    std::string object;
    std::string body; ///< turn records, one per line
    std::vector<platform::RowChange> rows;
    std::size_t records = 0;
};

/// Read rows back after a write of unknown outcome or a conflict.
struct ReadRows
{
    std::vector<std::string> programs;
};

/// Hold a turn record on this host and at peers until it is committed.
struct HoldRecord
{
    std::string program;
    std::uint32_t turn = 0;
    std::string line;
    std::uint64_t fencing = 0;
};

/// Notify peers that a turn that they hold is committed.
struct DropHeld
{
    std::string program;
    std::uint32_t turn = 0;
};

struct Answer
{
    Ticket ticket = 0;
    calls::CallOutcome outcome;
};

struct AnswerStatus
{
    Ticket ticket = 0;
    StatusOutcome outcome;
};

/// Make the engines release their memory of a program that has ended or expired.
struct ReleaseMemory
{
    std::string program;
};

using Action =
    std::variant<LoadProgram, WriteRow, RunCall, WriteBatch, ReadRows, HoldRecord, DropHeld, Answer, AnswerStatus, ReleaseMemory>;
using Actions = std::vector<Action>;

/// Result of LoadProgram.
struct LoadedProgram
{
    std::optional<ProgramRow> row; ///< nullopt if there is no such program
    std::uint64_t rowVersion = 0;
    std::vector<std::string> lines; ///< turn records in its batches
    std::vector<std::string> held;  ///< turn records held by peers and this host
};

} // namespace laburnummill::programs
