#include "calls/internal/atmostoncemachine.h"

#include <algorithm>

namespace laburnummill::calls {

using framework::Instant;
using framework::Milliseconds;

namespace {

constexpr auto s_retryAfter = Milliseconds(1'000);
constexpr auto s_recordRetryInterval = Milliseconds(1'000);
constexpr auto s_maxClaims = 4U;
constexpr auto s_maxAnswerBytes = std::size_t{64 * 1024};

auto endWithFailure(CallFailure failure) -> CallStep
{
    return End{std::move(failure)};
}

auto recordUnavailable() -> CallStep
{
    return endWithFailure(callFailure(CallError::RecordUnavailable, Ran::No, s_retryAfter));
}

auto stillRunning() -> CallStep
{
    return endWithFailure(callFailure(CallError::Running, Ran::Unknown, s_retryAfter));
}

auto outcomeOf(const IntentRecord& record) -> CallOutcome
{
    if (record.state == IntentState::Ran) {
        return callFailure(CallError::RanWithoutAnswer, Ran::Yes);
    }
    if (!record.answer) {
        return callFailure(CallError::AnswerNotKept, Ran::Yes);
    }
    auto answer = *record.answer;
    answer.repeated = true;
    return answer;
}

} // namespace

AtMostOnceMachine::AtMostOnceMachine(IntentRecord claim, Instant deadline, Milliseconds timeout, RetryPlan plan, AtMostOncePolicy policy)
    : m_record(std::move(claim))
    , m_deadline(deadline)
    , m_timeout(timeout)
    , m_plan(plan)
    , m_policy(policy)
{}

auto AtMostOnceMachine::begin(Instant now) -> CallStep
{
    return m_policy.recordsBeforeSending ? claimAt(0) : acquire(now);
}

auto AtMostOnceMachine::claimAt(std::uint64_t version) -> CallStep
{
    if (++m_claims > s_maxClaims) {
        return recordUnavailable();
    }
    m_phase = Phase::Claiming;
    m_version = version;
    return WriteRecord{m_record, version};
}

auto AtMostOnceMachine::acquire(Instant now) -> CallStep
{
    m_phase = Phase::Running;
    if (now >= m_deadline) {
        return releaseClaim(callFailure(CallError::DeadlineExceeded, Ran::No));
    }
    return AcquirePermit{std::chrono::ceil<Milliseconds>(m_deadline - now)};
}

auto AtMostOnceMachine::releaseClaim(CallFailure failure) -> CallStep
{
    m_outcome = std::move(failure);
    m_removesRecord = true;
    return writeOutcome();
}

auto AtMostOnceMachine::writeOutcome() -> CallStep
{
    m_phase = Phase::Recording;
    if (m_removesRecord) {
        return RemoveRecord{m_version};
    }
    return WriteRecord{m_record, m_version};
}

auto AtMostOnceMachine::finish() -> CallStep
{
    return m_published ? End{} : End{m_outcome};
}

auto AtMostOnceMachine::onRecordNotWritten() -> CallStep
{
    if (!m_policy.retainsUnrecordedOutcome) {
        return finish();
    }
    if (!m_published) {
        m_published = true;
        return Publish{m_outcome};
    }
    return Wait{s_recordRetryInterval};
}

auto AtMostOnceMachine::onWritten(const RecordWritten& event, Instant now) -> CallStep
{
    if (m_phase == Phase::MarkingUnknown) {
        return endWithFailure(callFailure(CallError::OutcomeUnknown, Ran::Unknown));
    }
    if (event.status == StoreStatus::Done) {
        m_version = event.version;
        return m_phase == Phase::Claiming ? acquire(now) : finish();
    }
    if (event.status == StoreStatus::Unavailable) {
        return m_phase == Phase::Claiming ? recordUnavailable() : onRecordNotWritten();
    }
    if (event.status == StoreStatus::Unknown && m_phase == Phase::Claiming && !m_policy.readsBack) {
        return acquire(now);
    }
    return ReadRecord{};
}

auto AtMostOnceMachine::onRead(const RecordRead& event, Instant now) -> CallStep
{
    return m_phase == Phase::Claiming ? onClaimRead(event, now) : onFinalRead(event);
}

auto AtMostOnceMachine::onClaimRead(const RecordRead& event, Instant now) -> CallStep
{
    if (event.status != StoreStatus::Done) {
        return recordUnavailable();
    }
    if (!event.stored) {
        // NOTE Either another attempt's record has been removed in the meantime, or this attempt's write has not taken effect yet
        // and may still do so. Writing again is safe in both cases, because the attempt recognises its own record.
        return claimAt(0);
    }
    const auto& stored = *event.stored;
    if (stored.record.attempt == m_record.attempt) {
        m_version = stored.version;
        return acquire(now);
    }
    if (stored.record.bodyDigest != m_record.bodyDigest) {
        return endWithFailure(callFailure(CallError::IdempotencyKeyReused, Ran::No));
    }
    return onOtherAttempt(stored, event.executorStatus);
}

auto AtMostOnceMachine::onOtherAttempt(const StoredIntent& stored, ExecutorStatus executorStatus) -> CallStep
{
    switch (stored.record.state) {
    case IntentState::Finished:
    case IntentState::Ran:
        return End{outcomeOf(stored.record)};
    case IntentState::Unknown:
        return endWithFailure(callFailure(CallError::OutcomeUnknown, Ran::Unknown));
    case IntentState::Released:
        return claimAt(stored.version);
    case IntentState::Started:
        break;
    }
    if (executorStatus == ExecutorStatus::Self) {
        // NOTE The other attempt belongs to this host, but is not in this host's registry of active attempts, which was checked
        // before. Therefore its request was never sent.
        return claimAt(stored.version);
    }
    if (executorStatus == ExecutorStatus::Terminated) {
        if (!m_policy.refusesRerunAfterTermination) {
            return claimAt(stored.version);
        }
        m_phase = Phase::MarkingUnknown;
        auto marked = stored.record;
        marked.state = IntentState::Unknown;
        return WriteRecord{std::move(marked), stored.version};
    }
    if (!m_policy.queriesExecutor) {
        return claimAt(stored.version);
    }
    m_version = stored.version;
    return executorStatus == ExecutorStatus::Alive ? CallStep(QueryExecutor{stored.record}) : stillRunning();
}

auto AtMostOnceMachine::onFinalRead(const RecordRead& event) -> CallStep
{
    if (event.status != StoreStatus::Done) {
        return onRecordNotWritten();
    }
    if (!event.stored || event.stored->record.attempt != m_record.attempt) {
        // NOTE If this attempt failed, an operator may have released its record and another attempt may have claimed the call
        // since. If this attempt got an answer, its record must not change.
        m_recordLost = m_recordLost || (!m_removesRecord && m_record.state == IntentState::Finished);
        if (auto* failure = std::get_if<CallFailure>(&m_outcome); failure != nullptr && event.stored) {
            failure->ran = std::max(failure->ran, Ran::Unknown); // another attempt has claimed the call since
        }
        return finish();
    }
    const auto state = event.stored->record.state;
    if (state == IntentState::Released) {
        m_recordLost = m_recordLost || (!m_removesRecord && m_record.state == IntentState::Finished);
        return finish();
    }
    if (!m_removesRecord && state == m_record.state) {
        return finish();
    }
    m_version = event.stored->version;
    return writeOutcome();
}

auto AtMostOnceMachine::onExecutorAnswered(const ExecutorAnswered& event) -> CallStep
{
    if (event.reply == ExecutorReply::Ended && event.outcome) {
        return End{*event.outcome};
    }
    return event.reply == ExecutorReply::Abandoned ? claimAt(m_version) : stillRunning();
}

auto AtMostOnceMachine::onPermit(const AcquireEnded& event, Instant now) -> CallStep
{
    if (event.refusal) {
        return releaseClaim(*event.refusal);
    }
    if (m_policy.checksDeadline && now >= m_deadline) {
        return releaseClaim(callFailure(CallError::DeadlineExceeded, Ran::No));
    }
    // NOTE Once sent, the request may take the route's full timeout. A caller with a shorter timeout stops waiting, and the
    // outcome is recorded.
    return Dispatch{m_timeout};
}

auto AtMostOnceMachine::onDispatch(const DispatchEnded& event, Instant now) -> CallStep
{
    m_outcome = event.outcome;
    if (const auto* answer = std::get_if<CallAnswer>(&event.outcome)) {
        m_record.state = IntentState::Finished;
        if (answer->body.size() <= s_maxAnswerBytes) {
            m_record.answer = *answer;
        }
        return writeOutcome();
    }
    auto& failure = std::get<CallFailure>(m_outcome);
    if (failure.ran == Ran::No) {
        const auto delay = event.isRetryable ? m_plan.nextDelay(now, m_deadline) : std::nullopt;
        return delay ? CallStep(Wait{*delay}) : releaseClaim(failure);
    }
    if (!m_policy.reportsPossibleRun) {
        failure.ran = Ran::No;
    }
    m_record.state = IntentState::Unknown;
    return writeOutcome();
}

auto AtMostOnceMachine::onWaitEnded(Instant now) -> CallStep
{
    return m_phase == Phase::Running ? acquire(now) : writeOutcome();
}

auto AtMostOnceMachine::handle(const CallEvent& event, Instant now) -> CallStep
{
    if (const auto* written = std::get_if<RecordWritten>(&event)) {
        return onWritten(*written, now);
    }
    if (const auto* read = std::get_if<RecordRead>(&event)) {
        return onRead(*read, now);
    }
    if (const auto* answered = std::get_if<ExecutorAnswered>(&event)) {
        return onExecutorAnswered(*answered);
    }
    if (const auto* permit = std::get_if<AcquireEnded>(&event)) {
        return onPermit(*permit, now);
    }
    if (const auto* ended = std::get_if<DispatchEnded>(&event)) {
        return onDispatch(*ended, now);
    }
    if (std::holds_alternative<Published>(event)) {
        return Wait{s_recordRetryInterval};
    }
    return onWaitEnded(now);
}

} // namespace laburnummill::calls
