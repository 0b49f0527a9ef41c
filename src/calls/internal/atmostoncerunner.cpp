#include "calls/internal/atmostoncerunner.h"

#include "framework/global/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::calls {

using framework::Async;
using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_topic = "calls.attempt";
constexpr auto s_attemptIdBytes = std::size_t{16};
constexpr auto s_retryAfter = Milliseconds(1'000);
constexpr auto s_joinTimeout = Milliseconds(10'000);
constexpr auto s_replyMargin = Milliseconds(2'000);
constexpr auto s_pollInterval = Milliseconds(20);

/// Query to the executor of another attempt about that attempt.
auto queryMessage(const IntentRecord& record) -> std::string
{
    return framework::dumpJson({{"account", record.key.account},
                                {"keyHash", record.key.keyHash},
                                {"attempt", record.attempt},
                                {"incarnation", record.executor.incarnation}});
}

auto replyMessage(std::string_view reply) -> std::string
{
    return framework::dumpJson({{"word", reply}});
}

auto outcomeMessage(const CallOutcome& outcome) -> std::string
{
    if (const auto* answer = std::get_if<CallAnswer>(&outcome)) {
        return framework::dumpJson({{"word", "ended"}, {"answer", toJson(*answer)}});
    }
    return framework::dumpJson({{"word", "ended"}, {"failure", toJson(std::get<CallFailure>(outcome))}});
}

auto parseReply(const Json& message) -> ExecutorAnswered
{
    const auto reply = framework::stringAt(message, "word");
    if (reply == "abandoned") {
        return {ExecutorReply::Abandoned, std::nullopt};
    }
    if (reply == "ended" && message.contains("answer")) {
        auto answer = answerFromJson(message["answer"]);
        answer.repeated = true;
        return {ExecutorReply::Ended, std::move(answer)};
    }
    if (reply == "ended" && message.contains("failure")) {
        return {ExecutorReply::Ended, failureFromJson(message["failure"])};
    }
    return {ExecutorReply::Running, std::nullopt};
}

auto markRepeated(CallOutcome outcome) -> CallOutcome
{
    if (auto* answer = std::get_if<CallAnswer>(&outcome)) {
        answer->repeated = true;
    }
    return outcome;
}

} // namespace

AtMostOnceRunner::AtMostOnceRunner(AtMostOnceServices services)
    : m_services(std::move(services))
{}

auto AtMostOnceRunner::listen() -> void
{
    m_services.peers->serve(
        s_topic, [weak = weak_from_this()](std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> Async<void> {
            if (const auto self = weak.lock()) {
                co_await self->answerPeer(std::move(payload), std::move(responder));
            }
        });
}

auto AtMostOnceRunner::claimFor(const CallRequest& request) const -> IntentRecord
{
    auto claim = IntentRecord();
    claim.key = intentKeyOf(request);
    claim.attempt = framework::randomHex(s_attemptIdBytes);
    claim.executor = m_services.executors->self();
    claim.bodyDigest = bodyDigestOf(request);
    claim.startedAtMs = m_services.executors->wallTimeMs();
    return claim;
}

auto AtMostOnceRunner::run(CallRequest request, configuration::Route route, RetryPlan plan, backends::IPieceSink& sink,
                           framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto executor = co_await framework::asio::this_coro::executor;
    auto claim = claimFor(request);
    const auto key = claim.key;
    const auto timeout = request.timeout;
    const auto channel = std::make_shared<AnswerChannel>(executor);
    switch (m_attempts.tryAdd(key, claim.attempt, claim.bodyDigest)) {
    case AddResult::BodyMismatch:
        co_return callFailure(CallError::IdempotencyKeyReused, Ran::No);
    case AddResult::Full:
        co_return callFailure(CallError::TooManyAttempts, Ran::No, s_retryAfter);
    case AddResult::Joined:
        m_services.metrics->count("calls_joined_total");
        co_return markRepeated(co_await waitFor(key, channel, timeout, sink, std::move(cancellation)));
    case AddResult::Added:
        break;
    }
    const auto attempt =
        std::make_shared<Attempt>(Attempt{std::move(request), std::move(route), key, std::move(claim), channel, std::nullopt});
    framework::asio::co_spawn(
        executor, [self = shared_from_this(), attempt, plan] { return self->runAttempt(attempt, plan); }, framework::asio::detached);
    co_return co_await waitFor(key, channel, timeout, sink, std::move(cancellation));
}

auto AtMostOnceRunner::waitFor(IntentKey key, std::shared_ptr<AnswerChannel> channel, Milliseconds timeout, backends::IPieceSink& sink,
                               framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto weak = std::weak_ptr(channel);
    m_attempts.wait(key, [weak](const CallOutcome& outcome) {
        if (const auto waiting = weak.lock()) {
            waiting->end(outcome);
        }
    });
    if (cancellation) {
        cancellation->onCancel([weak] {
            if (const auto waiting = weak.lock()) {
                waiting->end(callFailure(CallError::Cancelled, Ran::Unknown));
            }
        });
    }
    channel->endAfter(timeout, callFailure(CallError::DeadlineExceeded, Ran::Unknown, s_retryAfter));
    co_return co_await channel->forward(sink);
}

auto AtMostOnceRunner::runAttempt(AttemptPtr attempt, RetryPlan plan) -> Async<void>
{
    const auto self = shared_from_this();
    const auto deadline = m_services.clock->now() + attempt->request.timeout;
    auto machine = AtMostOnceMachine(attempt->claim, deadline, Milliseconds(attempt->route.timeoutMs), plan);
    auto step = machine.begin(m_services.clock->now());
    while (!std::holds_alternative<End>(step)) {
        const auto event = co_await perform(attempt, step);
        step = machine.handle(event, m_services.clock->now());
        if (attempt->permit && !std::holds_alternative<Dispatch>(step)) {
            m_services.sender->returnPermit(*attempt->permit);
            attempt->permit.reset();
        }
    }
    if (machine.recordLost()) {
        ++m_recordsLost;
        m_services.metrics->count("calls_records_lost_total");
    }
    if (const auto& outcome = std::get<End>(step).outcome) {
        m_attempts.publish(attempt->key, *outcome);
    }
    m_attempts.erase(attempt->key);
}

auto AtMostOnceRunner::perform(AttemptPtr attempt, CallStep step) -> Async<CallEvent>
{
    if (auto* write = std::get_if<WriteRecord>(&step)) {
        co_return co_await m_services.store->write(attempt->key, std::move(write->record), write->expected);
    }
    if (const auto* remove = std::get_if<RemoveRecord>(&step)) {
        co_return co_await m_services.store->write(attempt->key, std::nullopt, remove->expected);
    }
    if (std::holds_alternative<ReadRecord>(step)) {
        co_return co_await performRead(attempt->key);
    }
    if (auto* query = std::get_if<QueryExecutor>(&step)) {
        co_return co_await performQuery(std::move(query->record));
    }
    if (const auto* acquire = std::get_if<AcquirePermit>(&step)) {
        co_return co_await performAcquire(attempt, acquire->timeout);
    }
    if (const auto* dispatch = std::get_if<Dispatch>(&step)) {
        co_return co_await performDispatch(attempt, dispatch->timeout);
    }
    if (const auto* published = std::get_if<Publish>(&step)) {
        m_services.metrics->count("calls_recorded_late_total");
        m_attempts.publish(attempt->key, published->outcome);
        co_return Published();
    }
    co_await framework::sleepFor(std::get<Wait>(step).delay);
    co_return WaitEnded();
}

auto AtMostOnceRunner::performRead(IntentKey key) -> Async<CallEvent>
{
    auto read = co_await m_services.store->read(std::move(key));
    if (read.stored) {
        read.executorStatus = m_services.executors->executorStatusOf(read.stored->record);
    }
    co_return read;
}

auto AtMostOnceRunner::performAcquire(AttemptPtr attempt, Milliseconds timeout) -> Async<CallEvent>
{
    auto acquired = co_await m_services.sender->acquire(attempt->request, attempt->route, timeout);
    if (auto* refusal = std::get_if<CallFailure>(&acquired)) {
        co_return AcquireEnded{std::move(*refusal)};
    }
    attempt->permit = std::move(std::get<scheduling::Permit>(acquired));
    co_return AcquireEnded();
}

auto AtMostOnceRunner::performDispatch(AttemptPtr attempt, Milliseconds timeout) -> Async<CallEvent>
{
    auto permit = std::move(*attempt->permit);
    attempt->permit.reset();
    if (!m_attempts.markSent(attempt->key, attempt->claim.attempt)) {
        m_services.metrics->count("calls_violations_total");
        m_services.sender->returnPermit(permit);
        co_return DispatchEnded{callFailure(CallError::OutcomeUnknown, Ran::Unknown), false, false};
    }
    m_services.metrics->count("calls_once_sent_total");
    auto ended = co_await m_services.sender->send(attempt->request, attempt->route, std::move(permit), timeout, *attempt->channel, nullptr);
    if (const auto* failure = std::get_if<CallFailure>(&ended.outcome); failure != nullptr && failure->ran == Ran::No) {
        m_attempts.clearSent(attempt->key);
    }
    co_return ended;
}

auto AtMostOnceRunner::performQuery(IntentRecord record) -> Async<CallEvent>
{
    const auto address = m_services.executors->addressOf(record.executor);
    if (!address) {
        co_return ExecutorAnswered();
    }
    const auto answer = co_await m_services.peers->request(*address, s_topic, queryMessage(record), s_joinTimeout + s_replyMargin);
    if (!answer) {
        co_return ExecutorAnswered();
    }
    co_return parseReply(framework::parseJson(answer.value()).value_or(Json::object()));
}

auto AtMostOnceRunner::answerPeer(std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> Async<void>
{
    const auto query = framework::parseJson(payload).value_or(Json::object());
    const auto key = IntentKey{framework::stringAt(query, "account"), framework::stringAt(query, "keyHash")};
    const auto incarnation = static_cast<std::uint64_t>(framework::integerAt(query, "incarnation"));
    const auto* attempt = m_attempts.find(key);
    if (incarnation != m_services.executors->self().incarnation) {
        responder->write(replyMessage("unknown"));
    } else if (attempt == nullptr || attempt->attempt != framework::stringAt(query, "attempt")) {
        responder->write(replyMessage("abandoned"));
    } else {
        const auto channel = std::make_shared<AnswerChannel>(co_await framework::asio::this_coro::executor);
        m_attempts.wait(key, [channel](const CallOutcome& outcome) { channel->end(outcome); });
        const auto running = callFailure(CallError::Running, Ran::Unknown, s_retryAfter);
        channel->endAfter(s_joinTimeout, running);
        const auto outcome = co_await channel->forward(*channel);
        const auto* failure = std::get_if<CallFailure>(&outcome);
        responder->write(failure != nullptr && *failure == running ? replyMessage("running") : outcomeMessage(outcome));
    }
    responder->end();
}

auto AtMostOnceRunner::waitUntilIdle(Milliseconds timeout) -> Async<void>
{
    for (auto waited = Milliseconds(0); m_attempts.liveCount() > 0 && waited < timeout; waited += s_pollInterval) {
        co_await framework::sleepFor(s_pollInterval);
    }
}

auto AtMostOnceRunner::dump() const -> Json
{
    return {{"live", m_attempts.liveCount()},
            {"unrecorded", m_attempts.unrecordedCount()},
            {"violations", m_attempts.violations()},
            {"recordsLost", m_recordsLost}};
}

} // namespace laburnummill::calls
