#include "calls/internal/requestsender.h"

#include "framework/global/digest.h"

namespace laburnummill::calls {

using backends::BackendAnswer;
using backends::BackendError;
using backends::BackendFailure;
using backends::BackendRequest;
using configuration::Route;
using configuration::RouteKind;
using framework::Async;
using framework::Json;
using framework::Milliseconds;
using scheduling::Permit;

namespace {

constexpr auto s_retryAfter = Milliseconds(500);
constexpr auto s_requestIdBytes = std::size_t{16};
constexpr auto s_bytesPerToken = std::uint64_t{4};

auto backendRequest(const CallRequest& request, const Route& route, const Permit& permit, Milliseconds timeout) -> BackendRequest
{
    auto outbound = BackendRequest();
    outbound.backend = permit.backend;
    outbound.address = permit.address;
    outbound.method = route.method;
    outbound.path = route.path;
    outbound.requestId = framework::randomHex(s_requestIdBytes);
    outbound.program = request.program;
    outbound.fencing = permit.fencing;
    outbound.timeout = timeout;
    outbound.body = request.body;
    if (route.kind == RouteKind::Model) {
        auto body = Json::parse(request.body);
        body["model"] = route.model;
        body["stream"] = true;
        body["stream_options"] = {{"include_usage", true}};
        outbound.body = framework::dumpJson(body);
    }
    return outbound;
}

auto permitUse(const backends::BackendOutcome& outcome) -> scheduling::PermitUse
{
    if (const auto* answer = std::get_if<BackendAnswer>(&outcome)) {
        return {scheduling::PermitEnd::Finished, answer->usage.prompt, answer->usage.cached, answer->usage.completion};
    }
    const auto& error = std::get<BackendFailure>(outcome).error;
    if (error == BackendError::RefusedOverload) {
        return {scheduling::PermitEnd::RefusedByBackend, 0, 0, 0};
    }
    if (error == BackendError::Cancelled) {
        return {scheduling::PermitEnd::Cancelled, 0, 0, 0};
    }
    return {scheduling::PermitEnd::ConnectionFailed, 0, 0, 0};
}

auto isRetryable(const std::error_code& error) -> bool
{
    return error == BackendError::Unreachable || error == BackendError::ConnectionLost || error == BackendError::TimedOut ||
           error == BackendError::Truncated || error == BackendError::WrongAnswer || error == BackendError::RefusedOverload ||
           error == BackendError::ServerFailure;
}

auto isCrash(const std::error_code& error) -> bool
{
    return error == BackendError::ConnectionLost || error == BackendError::Truncated;
}

/// Forwards pieces to another sink and records whether there were any.
class TrackingSink final : public backends::IPieceSink
{
public:
    explicit TrackingSink(backends::IPieceSink& sink)
        : m_sink(sink)
    {}

    auto piece(std::string text) -> framework::AsyncResult<void> override
    {
        m_hasDelivered = true;
        co_return co_await m_sink.piece(std::move(text));
    }

    auto hasDelivered() const -> bool { return m_hasDelivered; }

private:
    backends::IPieceSink& m_sink;
    bool m_hasDelivered = false;
};

} // namespace

RequestSender::RequestSender(std::shared_ptr<scheduling::IScheduler> scheduler, std::shared_ptr<backends::IBackends> backends,
                             std::shared_ptr<coordination::IShards> shards, std::shared_ptr<CrashTracker> crashes)
    : m_scheduler(std::move(scheduler))
    , m_backends(std::move(backends))
    , m_shards(std::move(shards))
    , m_crashes(std::move(crashes))
{}

auto RequestSender::acquire(const CallRequest& request, const Route& route, Milliseconds timeout)
    -> Async<std::variant<Permit, CallFailure>>
{
    const auto fingerprint = fingerprintOf(request);
    if (m_crashes->isQuarantined(fingerprint)) {
        co_return callFailure(CallError::Quarantined, Ran::No);
    }
    auto permitRequest = scheduling::PermitRequest();
    permitRequest.pool = route.pool;
    permitRequest.model = route.model;
    permitRequest.account = request.account;
    permitRequest.program = request.program;
    permitRequest.promptTokens = request.body.size() / s_bytesPerToken;
    permitRequest.timeout = timeout;
    auto permit = co_await m_scheduler->acquire(std::move(permitRequest));
    if (!permit) {
        co_return callFailure(permit.error(), Ran::No, s_retryAfter);
    }
    // NOTE The wait for the permit may have been long, so quarantine and shard ownership are checked again before sending.
    if (m_crashes->isQuarantined(fingerprint)) {
        returnPermit(permit.value());
        co_return callFailure(CallError::Quarantined, Ran::No);
    }
    if (request.shard) {
        const auto fencing = m_shards->mayAct(*request.shard);
        if (!fencing) {
            returnPermit(permit.value());
            co_return callFailure(fencing.error(), Ran::No, s_retryAfter);
        }
        if (permit.value().fencing == 0) {
            permit.value().fencing = fencing.value();
        }
    }
    co_return std::move(permit.value());
}

auto RequestSender::returnPermit(const Permit& permit) -> void
{
    m_scheduler->release(permit, {scheduling::PermitEnd::Cancelled, 0, 0, 0});
}

auto RequestSender::send(const CallRequest& request, const Route& route, Permit permit, Milliseconds timeout, backends::IPieceSink& sink,
                         framework::CancellationPtr cancellation) -> Async<DispatchEnded>
{
    auto trackingSink = TrackingSink(sink);
    const auto outbound = backendRequest(request, route, permit, timeout);
    auto outcome = route.kind == RouteKind::Model ? co_await m_backends->generate(outbound, trackingSink, std::move(cancellation))
                                                  : co_await m_backends->call(outbound);
    m_scheduler->release(permit, permitUse(outcome));
    if (const auto* failure = std::get_if<BackendFailure>(&outcome)) {
        if (isCrash(failure->error)) {
            m_crashes->reportCrash(fingerprintOf(request), outbound.requestId);
        }
        co_return DispatchEnded{callFailure(failure->error, failure->ran, s_retryAfter), isRetryable(failure->error),
                                trackingSink.hasDelivered()};
    }
    auto& answer = std::get<BackendAnswer>(outcome);
    auto fullAnswer = CallAnswer{answer.status, std::move(answer.contentType), std::move(answer.body), answer.usage, permit.backend, false};
    co_return DispatchEnded{std::move(fullAnswer), false, trackingSink.hasDelivered()};
}

} // namespace laburnummill::calls
