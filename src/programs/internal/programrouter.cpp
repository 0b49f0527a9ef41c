#include "programs/internal/programrouter.h"

#include "framework/global/digest.h"
#include "programs/programmessages.pb.h"

namespace laburnummill::programs {

using calls::CallFailure;
using calls::callFailure;
using calls::CallOutcome;
using calls::Ran;
using framework::Async;
using framework::AsyncResult;
using framework::IPeerResponder;
using framework::Json;
using framework::Milliseconds;
using framework::RpcError;
using framework::success;

namespace {

constexpr auto s_topic = std::string_view("programs.request");
constexpr auto s_idLengthBytes = std::size_t{12};
constexpr auto s_retryAfter = Milliseconds(500);
constexpr auto s_ownerTimeout = Milliseconds(10'000);
constexpr auto s_retryInterval = Milliseconds(100);

auto toMessage(const ProgramCall& call) -> std::string
{
    auto request = ProgramRequest();
    request.set_kind(ProgramRequest::KIND_CALL);
    request.set_account(call.account);
    request.set_program(call.program);
    request.set_call(call.call);
    request.set_turn(call.turn);
    request.set_route(call.route);
    request.set_body(call.body);
    request.set_patience_ms(static_cast<std::uint64_t>(call.timeout.count()));
    return request.SerializeAsString();
}

auto toMessage(ProgramRequest::Kind kind, std::string account, std::string program) -> std::string
{
    auto request = ProgramRequest();
    request.set_kind(kind);
    request.set_account(std::move(account));
    request.set_program(std::move(program));
    return request.SerializeAsString();
}

auto toCall(const ProgramRequest& request) -> ProgramCall
{
    return {request.account(),
            request.program(),
            request.call(),
            request.turn(),
            request.route(),
            request.body(),
            Milliseconds(static_cast<std::int64_t>(request.patience_ms()))};
}

auto failureMessage(const CallFailure& failure) -> std::string
{
    auto message = ProgramAnswer();
    message.set_failure_json(framework::dumpJson(toJson(failure)));
    return message.SerializeAsString();
}

auto toMessage(const CallOutcome& outcome) -> std::string
{
    if (const auto* failure = std::get_if<CallFailure>(&outcome)) {
        return failureMessage(*failure);
    }
    auto message = ProgramAnswer();
    message.set_answer_json(framework::dumpJson(toJson(std::get<calls::CallAnswer>(outcome))));
    return message.SerializeAsString();
}

auto toMessage(const StatusOutcome& outcome) -> std::string
{
    if (const auto* failure = std::get_if<CallFailure>(&outcome)) {
        return failureMessage(*failure);
    }
    const auto& status = std::get<ProgramStatus>(outcome);
    auto message = ProgramAnswer();
    message.mutable_status()->set_program(status.program);
    message.mutable_status()->set_turns(status.turns);
    message.mutable_status()->set_tokens(status.tokens);
    message.mutable_status()->set_ended(status.ended);
    message.mutable_status()->set_started_at_ms(status.startedAtMs);
    return message.SerializeAsString();
}

auto linkFailure(const std::error_code& error) -> CallFailure
{
    const auto isNotSent = error == RpcError::PeerUnreachable || error == RpcError::Overloaded;
    return callFailure(ProgramError::OwnerUnreachable, isNotSent ? Ran::No : Ran::Unknown, s_retryAfter);
}

auto failureOf(const ProgramAnswer& message) -> CallFailure
{
    return calls::failureFromJson(framework::parseJson(message.failure_json()).value_or(Json::object()));
}

/// A call is sent again only if it did not run: the host was not the owner or could not be reached.
auto isRetryable(const CallFailure& failure) -> bool
{
    return failure.ran == Ran::No && failure.code == framework::codeOf(ProgramError::OwnerUnreachable);
}

/// Forwards pieces to the entry daemon.
class PeerSink final : public backends::IPieceSink
{
public:
    explicit PeerSink(std::shared_ptr<IPeerResponder> responder)
        : m_responder(std::move(responder))
    {}

    auto piece(std::string text) -> AsyncResult<void> override
    {
        if (m_responder->cancelled()) {
            co_return RpcError::Cancelled;
        }
        auto message = ProgramAnswer();
        message.set_piece(std::move(text));
        m_responder->write(message.SerializeAsString());
        co_return success();
    }

private:
    std::shared_ptr<IPeerResponder> m_responder;
};

/// Forwards an owner's answer to the caller.
auto relayCall(std::shared_ptr<framework::IPeerExchange> exchange, backends::IPieceSink& sink) -> Async<CallOutcome>
{
    while (true) {
        const auto read = co_await exchange->read();
        if (!read) {
            co_return linkFailure(read.error());
        }
        auto message = ProgramAnswer();
        if (!read.value() || !message.ParseFromString(*read.value())) {
            co_return linkFailure(RpcError::Malformed);
        }
        switch (message.content_case()) {
        case ProgramAnswer::kPiece:
            if (const auto taken = co_await sink.piece(message.piece()); !taken) {
                exchange->cancel();
                co_return callFailure(calls::CallError::Cancelled, Ran::Unknown);
            }
            break;
        case ProgramAnswer::kAnswerJson:
            co_return calls::answerFromJson(framework::parseJson(message.answer_json()).value_or(Json::object()));
        default:
            co_return failureOf(message);
        }
    }
}

} // namespace

ProgramRouter::ProgramRouter(std::shared_ptr<OwnerDriver> driver, ProgramServices services)
    : m_driver(std::move(driver))
    , m_services(std::move(services))
{}

auto ProgramRouter::serve() -> void
{
    m_services.peers->serve(std::string(s_topic),
                            [weak = weak_from_this()](std::string payload, std::shared_ptr<IPeerResponder> responder) -> Async<void> {
                                if (const auto self = weak.lock()) {
                                    co_await self->handlePeerRequest(std::move(payload), std::move(responder));
                                }
                            });
}

auto ProgramRouter::homeDataCentre() const -> std::string
{
    const auto& own = m_services.membership->self().dataCentre;
    const auto current = m_services.configuration->current();
    const auto* settings = current ? current->dataCentre(own) : nullptr;
    if (settings == nullptr || !settings->drained) {
        return own;
    }
    for (const auto& other : current->dataCentres) {
        if (!other.drained && other.region == settings->region && !m_services.membership->members(other.name).empty()) {
            return other.name;
        }
    }
    return own;
}

auto ProgramRouter::start(std::string account, std::string parent) -> Async<StartOutcome>
{
    const auto home = parent.empty() ? homeDataCentre() : rootOf(parent);
    auto program = home + "." + framework::randomHex(s_idLengthBytes);
    const auto started = co_await sendRequest(ProgramRequest::KIND_START, std::move(account), program);
    if (const auto* failure = std::get_if<CallFailure>(&started)) {
        co_return *failure;
    }
    co_return program;
}

auto ProgramRouter::call(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto deadline = m_services.clock->now() + std::min(call.timeout, s_ownerTimeout);
    while (true) {
        auto outcome = co_await callOnce(call, sink, cancellation);
        const auto* failure = std::get_if<CallFailure>(&outcome);
        if (failure == nullptr || !isRetryable(*failure) || m_services.clock->now() >= deadline) {
            co_return outcome;
        }
        co_await framework::sleepFor(s_retryInterval);
    }
}

auto ProgramRouter::callOnce(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto ownership = m_services.shards->ownerOf(shardOf(call.program));
    if (!ownership) {
        co_return callFailure(ProgramError::OwnerUnreachable, Ran::No, s_retryAfter);
    }
    if (ownership.value().isSelf) {
        co_return co_await m_driver->call(std::move(call), sink, std::move(cancellation));
    }
    const auto exchange = m_services.peers->open(ownership.value().owner.address, s_topic, toMessage(call));
    cancellation->onCancel([exchange] { exchange->cancel(); });
    co_return co_await relayCall(exchange, sink);
}

auto ProgramRouter::status(std::string account, std::string program) -> Async<StatusOutcome>
{
    co_return co_await sendRequest(ProgramRequest::KIND_STATUS, std::move(account), std::move(program));
}

auto ProgramRouter::end(std::string account, std::string program) -> Async<StatusOutcome>
{
    co_return co_await sendRequest(ProgramRequest::KIND_END, std::move(account), std::move(program));
}

auto ProgramRouter::sendRequest(ProgramRequest::Kind kind, std::string account, std::string program) -> Async<StatusOutcome>
{
    const auto deadline = m_services.clock->now() + s_ownerTimeout;
    while (true) {
        auto outcome = co_await sendRequestOnce(kind, account, program);
        const auto* failure = std::get_if<CallFailure>(&outcome);
        if (failure == nullptr || !isRetryable(*failure) || m_services.clock->now() >= deadline) {
            co_return outcome;
        }
        co_await framework::sleepFor(s_retryInterval);
    }
}

auto ProgramRouter::sendRequestOnce(ProgramRequest::Kind kind, std::string account, std::string program) -> Async<StatusOutcome>
{
    const auto ownership = m_services.shards->ownerOf(shardOf(program));
    if (!ownership) {
        co_return callFailure(ProgramError::OwnerUnreachable, Ran::No, s_retryAfter);
    }
    if (ownership.value().isSelf) {
        co_return co_await handleLocally(kind, std::move(account), std::move(program));
    }
    co_return co_await relayStatus(ownership.value().owner.address, toMessage(kind, std::move(account), std::move(program)));
}

auto ProgramRouter::handleLocally(ProgramRequest::Kind kind, std::string account, std::string program) -> Async<StatusOutcome>
{
    if (kind == ProgramRequest::KIND_START) {
        co_return co_await m_driver->start(std::move(account), std::move(program));
    }
    if (kind == ProgramRequest::KIND_END) {
        co_return co_await m_driver->end(std::move(account), std::move(program));
    }
    co_return co_await m_driver->status(std::move(account), std::move(program));
}

auto ProgramRouter::relayStatus(const framework::Endpoint& owner, std::string request) -> Async<StatusOutcome>
{
    constexpr auto timeout = Milliseconds(5'000);
    const auto answer = co_await m_services.peers->request(owner, s_topic, std::move(request), timeout);
    if (!answer) {
        co_return linkFailure(answer.error());
    }
    auto message = ProgramAnswer();
    if (!message.ParseFromString(answer.value())) {
        co_return linkFailure(RpcError::Malformed);
    }
    if (message.content_case() != ProgramAnswer::kStatus) {
        co_return failureOf(message);
    }
    const auto& status = message.status();
    co_return ProgramStatus{status.program(), status.turns(), status.tokens(), status.ended(), status.started_at_ms()};
}

auto ProgramRouter::handlePeerRequest(std::string payload, std::shared_ptr<IPeerResponder> responder) -> Async<void>
{
    auto request = ProgramRequest();
    if (!request.ParseFromString(payload)) {
        responder->fail(RpcError::Malformed);
        co_return;
    }
    if (request.kind() != ProgramRequest::KIND_CALL) {
        responder->write(toMessage(co_await handleLocally(request.kind(), request.account(), request.program())));
    } else {
        const auto cancellation = std::make_shared<framework::Cancellation>();
        responder->onCancel([cancellation] { cancellation->cancel(); });
        auto sink = PeerSink(responder);
        responder->write(toMessage(co_await m_driver->call(toCall(request), sink, cancellation)));
    }
    responder->end();
}

} // namespace laburnummill::programs
