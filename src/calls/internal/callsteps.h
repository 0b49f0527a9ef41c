#pragma once

#include "calls/calltypes.h"
#include "calls/internal/intentrecord.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace laburnummill::calls {

/// How an operation on the store ended.
enum class StoreStatus
{
    Done,
    Conflict,    ///< nothing was written
    Unknown,     ///< a write may have taken effect, or may yet
    Unavailable, ///< surely no effect
};

/// What is known of the member that a record names as its executor.
enum class ExecutorStatus
{
    Self,
    Alive,
    Unreachable, ///< not heard of; it may live behind a partition
    Terminated,  ///< replaced by another incarnation, or silent for longer than any attempt lasts
};

/// What the executor of another attempt says of it.
enum class ExecutorReply
{
    Ended,       ///< with its outcome
    Running,     ///< it did not end while we waited
    Abandoned,   ///< it was never sent and never will be
    Unreachable, ///< no answer
};

/// Steps that a call asks for, one at a time. Each is answered by one event.
struct WriteRecord
{
    IntentRecord record;
    std::uint64_t expected = 0; ///< version of the row; 0: it must not exist
};
struct RemoveRecord
{
    std::uint64_t expected = 0;
};
struct ReadRecord
{};
struct QueryExecutor
{
    IntentRecord record;
};
struct AcquirePermit
{
    framework::Milliseconds timeout{};
};
struct Dispatch
{
    framework::Milliseconds timeout{};
};
struct Wait
{
    framework::Milliseconds delay{};
};

/// Gives the outcome to all who wait for the call; the call itself goes on until its record is written.
struct Publish
{
    CallOutcome outcome;
};

/// The call's last step; carries the outcome unless it was published before.
struct End
{
    std::optional<CallOutcome> outcome;
};

using CallStep = std::variant<WriteRecord, RemoveRecord, ReadRecord, QueryExecutor, AcquirePermit, Dispatch, Wait, Publish, End>;

/// What became of the last step.
struct RecordWritten
{
    StoreStatus status = StoreStatus::Done;
    std::uint64_t version = 0;
};
struct RecordRead
{
    StoreStatus status = StoreStatus::Done;
    std::optional<StoredIntent> stored;
    ExecutorStatus executorStatus = ExecutorStatus::Self;
};
struct ExecutorAnswered
{
    ExecutorReply reply = ExecutorReply::Unreachable;
    std::optional<CallOutcome> outcome;
};
struct AcquireEnded
{
    std::optional<CallFailure> refusal; ///< nothing: granted, and this host may act
};
struct DispatchEnded
{
    CallOutcome outcome;
    bool isRetryable = false;     ///< the failure is one that another try may not meet
    bool piecesDelivered = false; ///< a part of the answer has reached the caller
};
struct WaitEnded
{};
struct Published
{};

/// Nobody waits for the call any more.
struct CallCancelled
{};

using CallEvent =
    std::variant<RecordWritten, RecordRead, ExecutorAnswered, AcquireEnded, DispatchEnded, WaitEnded, Published, CallCancelled>;

} // namespace laburnummill::calls
