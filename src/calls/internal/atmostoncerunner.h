#pragma once

#include "calls/internal/answerchannel.h"
#include "calls/internal/atmostoncemachine.h"
#include "calls/internal/attemptregistry.h"
#include "calls/internal/executordirectory.h"
#include "calls/internal/intentstore.h"
#include "calls/internal/requestsender.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/ipeers.h"

#include <memory>

namespace laburnummill::calls {

/// Services that are needed to run non-repeatable calls.
struct AtMostOnceServices
{
    std::shared_ptr<RequestSender> sender;
    std::shared_ptr<IntentStore> store;
    std::shared_ptr<ExecutorDirectory> executors;
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<framework::Metrics> metrics;
};

/// Drives the state machines of non-repeatable calls. Each attempt is a separate task; its callers wait for the outcome and can
/// stop waiting without ending the attempt.
class AtMostOnceRunner final : public std::enable_shared_from_this<AtMostOnceRunner>
{
public:
    explicit AtMostOnceRunner(AtMostOnceServices services);

    /// Starts to serve queries of peers about attempts of this host.
    auto listen() -> void;

    auto run(CallRequest request, configuration::Route route, RetryPlan plan, backends::IPieceSink& sink,
             framework::CancellationPtr cancellation) -> framework::Async<CallOutcome>;

    /// Waits until no attempt is active, at most `timeout`.
    auto waitUntilIdle(framework::Milliseconds timeout) -> framework::Async<void>;

    auto dump() const -> framework::Json;

private:
    struct Attempt
    {
        CallRequest request;
        configuration::Route route;
        IntentKey key;
        IntentRecord claim;
        std::shared_ptr<AnswerChannel> channel;
        std::optional<scheduling::Permit> permit;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    auto claimFor(const CallRequest& request) const -> IntentRecord;
    auto waitFor(IntentKey key, std::shared_ptr<AnswerChannel> channel, framework::Milliseconds timeout, backends::IPieceSink& sink,
                 framework::CancellationPtr cancellation) -> framework::Async<CallOutcome>;
    auto runAttempt(AttemptPtr attempt, RetryPlan plan) -> framework::Async<void>;
    auto perform(AttemptPtr attempt, CallStep step) -> framework::Async<CallEvent>;
    auto performRead(IntentKey key) -> framework::Async<CallEvent>;
    auto performAcquire(AttemptPtr attempt, framework::Milliseconds timeout) -> framework::Async<CallEvent>;
    auto performDispatch(AttemptPtr attempt, framework::Milliseconds timeout) -> framework::Async<CallEvent>;
    auto performQuery(IntentRecord record) -> framework::Async<CallEvent>;
    auto answerPeer(std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> framework::Async<void>;

    AtMostOnceServices m_services;
    AttemptRegistry m_attempts;
    std::uint64_t m_recordsLost = 0;
};

} // namespace laburnummill::calls
