#pragma once

#include "calls/callerrors.h"
#include "calls/internal/callsteps.h"
#include "calls/internal/retryplan.h"

namespace laburnummill::calls {

/// Mechanisms that prevent a call from running twice. All are enabled by default; tests disable single ones.
struct AtMostOncePolicy
{
    bool recordsBeforeSending = true;         ///< no request is sent before the record of the attempt is written
    bool readsBack = true;                    ///< after a write with an unknown result the record is read
    bool queriesExecutor = true;              ///< a started call is claimed only if its executor replies that the attempt is abandoned
    bool refusesRerunAfterTermination = true; ///< a call whose executor has terminated is never run again
    bool retainsUnrecordedOutcome = true;     ///< writing the outcome's record is retried until it succeeds
    bool reportsPossibleRun = true;           ///< a failure states whether the call may have run
    bool checksDeadline = true;               ///< the deadline is checked again immediately before the request is sent
};

/// State machine of one attempt at a non-repeatable call: claims the call by writing its record, sends the request at most once
/// and records the outcome. Single-threaded, without I/O: takes events with the current time and returns the next step.
class AtMostOnceMachine
{
public:
    /// `claim` is the record to write, in state Started. `timeout` limits the request to the backend server.
    AtMostOnceMachine(IntentRecord claim, framework::Instant deadline, framework::Milliseconds timeout, RetryPlan plan,
                      AtMostOncePolicy policy = {});

    auto begin(framework::Instant now) -> CallStep;
    auto handle(const CallEvent& event, framework::Instant now) -> CallStep;

    /// True if another writer has changed or removed this attempt's record after the call finished, which must not happen.
    auto recordLost() const -> bool { return m_recordLost; }

private:
    enum class Phase
    {
        Claiming,
        MarkingUnknown,
        Running,
        Recording,
    };

    auto claimAt(std::uint64_t version) -> CallStep;
    auto acquire(framework::Instant now) -> CallStep;
    auto releaseClaim(CallFailure failure) -> CallStep;
    auto writeOutcome() -> CallStep;
    auto finish() -> CallStep;
    auto onRecordNotWritten() -> CallStep;

    auto onWritten(const RecordWritten& event, framework::Instant now) -> CallStep;
    auto onRead(const RecordRead& event, framework::Instant now) -> CallStep;
    auto onClaimRead(const RecordRead& event, framework::Instant now) -> CallStep;
    auto onOtherAttempt(const StoredIntent& stored, ExecutorStatus executorStatus) -> CallStep;
    auto onFinalRead(const RecordRead& event) -> CallStep;
    auto onExecutorAnswered(const ExecutorAnswered& event) -> CallStep;
    auto onPermit(const AcquireEnded& event, framework::Instant now) -> CallStep;
    auto onDispatch(const DispatchEnded& event, framework::Instant now) -> CallStep;
    auto onWaitEnded(framework::Instant now) -> CallStep;

    IntentRecord m_record;
    framework::Instant m_deadline;
    framework::Milliseconds m_timeout;
    RetryPlan m_plan;
    AtMostOncePolicy m_policy;
    Phase m_phase = Phase::Claiming;
    std::uint64_t m_version = 0;
    unsigned m_claims = 0;
    CallOutcome m_outcome;
    bool m_removesRecord = false; ///< the record is removed because the call did not run
    bool m_published = false;     ///< the outcome was passed to the callers before its record was written
    bool m_recordLost = false;
};

} // namespace laburnummill::calls
