#pragma once

#include "calls/callerrors.h"
#include "calls/internal/callsteps.h"
#include "calls/internal/retryplan.h"

namespace laburnummill::calls {

/// The mechanisms that keep a call from running twice. All are on; tests take single ones away.
struct AtMostOncePolicy
{
    bool recordsBeforeSending = true;         ///< nothing is sent before the record says so
    bool readsBack = true;                    ///< a write without an answer is settled by reading
    bool queriesExecutor = true;              ///< another host's attempt is taken over only where that host says that it may be
    bool refusesRerunAfterTermination = true; ///< an attempt whose executor is gone is never run again
    bool retainsUnrecordedOutcome = true;     ///< an outcome is kept until its record is written
    bool reportsPossibleRun = true;           ///< a failure that may have run says so
    bool checksDeadline = true;               ///< the deadline is looked at again right before the request is sent
};

/// One attempt at a call that may not be repeated: claims the call by its record, sends it at most once, records what came of it.
/// Single-threaded and without I/O: takes events with a time, returns the next step.
class AtMostOnceMachine
{
public:
    /// `claim` is the record to be written, in state Started.
    AtMostOnceMachine(IntentRecord claim, framework::Instant deadline, framework::Milliseconds timeout, RetryPlan plan,
                      AtMostOncePolicy policy = {});

    auto begin(framework::Instant now) -> CallStep;
    auto handle(const CallEvent& event, framework::Instant now) -> CallStep;

    /// True where another hand has changed this attempt's record, which nobody may.
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
    bool m_removesRecord = false; ///< the record goes, as the call surely did not run
    bool m_published = false;     ///< the outcome was given before its record was written
    bool m_recordLost = false;
};

} // namespace laburnummill::calls
