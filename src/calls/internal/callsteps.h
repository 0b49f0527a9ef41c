#pragma once

#include "calls/calltypes.h"
#include "calls/internal/intentrecord.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace laburnummill::calls {

/// Result of an operation on the store.
enum class StoreStatus
{
    Done,
    Conflict,    ///< nothing was written
    Unknown,     ///< the write may have taken effect or may still take effect
    Unavailable, ///< the operation had no effect
};

/// State of the member that a record names as its executor, as seen by this host.
enum class ExecutorStatus
{
    Self,
    Alive,
    Unreachable, ///< it does not answer but may be running behind a network partition
    Terminated,  ///< replaced by another incarnation, or unreachable for longer than any attempt lasts
};

/// Reply of another attempt's executor to a query about that attempt.
enum class ExecutorReply
{
    Ended,       ///< the attempt has ended; the reply holds its outcome
    Running,     ///< the attempt did not end within the time of the query
    Abandoned,   ///< the attempt's request was never sent and never will be
    Unreachable, ///< the executor did not reply
};

/// Steps that a call's state machine requests, one at a time. The result of each step is passed to the machine as one event.
struct WriteRecord
{
    IntentRecord record;
    std::uint64_t expected = 0; ///< version of the row; 0 if the row must not exist
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

/// Passes the outcome to all callers that wait for the call. The call stays active until its record is written.
struct Publish
{
    CallOutcome outcome;
};

/// The last step of a call. The outcome is nullopt if it was published before.
struct End
{
    std::optional<CallOutcome> outcome;
};

using CallStep = std::variant<WriteRecord, RemoveRecord, ReadRecord, QueryExecutor, AcquirePermit, Dispatch, Wait, Publish, End>;

/// Results of steps.
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
    std::optional<CallFailure> refusal; ///< nullopt if the permit was granted and this host may act for the call's shard
};
struct DispatchEnded
{
    CallOutcome outcome;
    bool isRetryable = false;     ///< the request may succeed if it is sent again
    bool piecesDelivered = false; ///< a part of the answer has reached the caller
};
struct WaitEnded
{};
struct Published
{};

/// The call was cancelled because no caller waits for it.
struct CallCancelled
{};

using CallEvent =
    std::variant<RecordWritten, RecordRead, ExecutorAnswered, AcquireEnded, DispatchEnded, WaitEnded, Published, CallCancelled>;

} // namespace laburnummill::calls
