#include "gateway/internal/callerhandler.h"

#include "framework/global/digest.h"
#include "gateway/internal/answers.h"

namespace laburnummill::gateway {

using accounts::Caller;
using calls::CallAnswer;
using calls::CallFailure;
using calls::callFailure;
using calls::CallOutcome;
using calls::Ran;
using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::IHttpResponder;
using framework::Json;
using framework::Milliseconds;
using framework::Result;

namespace {

constexpr auto s_retryAfter = Milliseconds(1'000);
constexpr auto s_idBytes = std::size_t{12};

auto isCall(const CallerRequest& parsed) -> bool
{
    return std::holds_alternative<ProgramCallRequest>(parsed) || std::holds_alternative<SingleCallRequest>(parsed);
}

auto routeOf(const CallerRequest& parsed) -> std::string
{
    if (const auto* call = std::get_if<ProgramCallRequest>(&parsed)) {
        return call->route;
    }
    const auto* single = std::get_if<SingleCallRequest>(&parsed);
    return single == nullptr ? std::string() : single->route;
}

auto wantsStream(const CallerRequest& parsed) -> bool
{
    if (const auto* call = std::get_if<ProgramCallRequest>(&parsed)) {
        return call->stream;
    }
    const auto* single = std::get_if<SingleCallRequest>(&parsed);
    return single != nullptr && single->stream;
}

auto statusResponse(const programs::StatusOutcome& outcome) -> HttpResponse
{
    if (const auto* failure = std::get_if<CallFailure>(&outcome)) {
        return failureResponse(*failure);
    }
    return jsonResponse(200, statusBody(std::get<programs::ProgramStatus>(outcome)));
}

} // namespace

CallerHandler::CallerHandler(CallerServices services)
    : m_services(std::move(services))
{
    m_services.keys->onChange([this] { cancelWithdrawnCallers(); });
}

auto CallerHandler::isReady() const -> bool
{
    return !m_stopping && m_services.configuration->current() != nullptr && m_services.keys->version() > 0 &&
           m_services.limits->isReady() && m_services.membership->hasJoined();
}

auto CallerHandler::rejection(std::error_code error) -> HttpResponse
{
    m_services.metrics->count("refused_total", {{"code", std::string(framework::codeOf(error))}});
    return failureResponse(callFailure(error, Ran::No));
}

auto CallerHandler::answerOperational(const HttpRequest& request) const -> std::optional<HttpResponse>
{
    if (request.path == "/healthz") {
        return jsonResponse(200, {{"healthy", true}});
    }
    if (request.path == "/readyz") {
        return jsonResponse(isReady() ? 200 : 503, {{"ready", isReady()}});
    }
    if (request.path == "/metrics") {
        return HttpResponse{200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_services.metrics->exposition()};
    }
    return std::nullopt;
}

auto CallerHandler::reject(const CallFailure& failure, IHttpResponder& responder) -> Async<void>
{
    m_services.metrics->count("refused_total", {{"code", failure.code}});
    (void)co_await responder.respond(failureResponse(failure));
}

auto CallerHandler::authenticate(const HttpRequest& request, const CallerRequest& parsed) const -> Result<Caller>
{
    const auto current = m_services.configuration->current();
    const auto* route = current->route(routeOf(parsed));
    const auto* single = std::get_if<SingleCallRequest>(&parsed);
    if (single != nullptr && route != nullptr && route->openToAll && presentedKey(request).empty()) {
        return Caller{};
    }
    return m_services.keys->authenticate(presentedKey(request));
}

auto CallerHandler::handle(const HttpRequest& request, IHttpResponder& responder) -> Async<void>
{
    if (auto response = answerOperational(request)) {
        (void)co_await responder.respond(std::move(*response));
        co_return;
    }
    if (!isReady()) {
        const auto error = m_stopping ? GatewayError::Stopping : GatewayError::NotReady;
        co_await reject(callFailure(error, Ran::No, s_retryAfter), responder);
        co_return;
    }
    auto parsed = parseCallerRequest(request);
    if (!parsed) {
        co_await reject(callFailure(parsed.error(), Ran::No), responder);
        co_return;
    }
    const auto caller = authenticate(request, parsed.value());
    if (!caller) {
        co_await reject(callFailure(caller.error(), Ran::No), responder);
        co_return;
    }
    auto token = accounts::Token();
    if (const auto isAnonymous = caller.value().account.empty(); !isAnonymous) {
        const auto taken = co_await m_services.limits->take(caller.value().account);
        if (const auto* refusal = std::get_if<accounts::RateRefusal>(&taken)) {
            recordRefusal(caller.value().account, framework::codeOf(refusal->error));
            co_await reject(callFailure(refusal->error, Ran::No, refusal->retryAfter), responder);
            co_return;
        }
        token = std::get<accounts::Token>(taken);
    }
    m_services.metrics->count("requests_total");
    co_await runRequest(caller.value(), request, std::move(parsed.value()), responder, token);
}

auto CallerHandler::runRequest(const Caller& caller, const HttpRequest& request, CallerRequest parsed, IHttpResponder& responder,
                               const accounts::Token& token) -> Async<void>
{
    if (isCall(parsed)) {
        co_await runCall(caller, request, std::move(parsed), responder, token);
        co_return;
    }
    if (const auto* start = std::get_if<StartProgramRequest>(&parsed)) {
        const auto started = co_await m_services.programs->start(caller.account, start->parent);
        if (const auto* failure = std::get_if<CallFailure>(&started)) {
            co_await reject(*failure, responder);
            co_return;
        }
        (void)co_await responder.respond(jsonResponse(201, {{"program", std::get<std::string>(started)}}));
        co_return;
    }
    if (const auto* status = std::get_if<ProgramStatusRequest>(&parsed)) {
        const auto outcome = co_await m_services.programs->status(caller.account, status->program);
        (void)co_await responder.respond(statusResponse(outcome));
        co_return;
    }
    const auto outcome = co_await m_services.programs->end(caller.account, std::get<EndProgramRequest>(parsed).program);
    recordProgramEnd(caller.account, outcome);
    (void)co_await responder.respond(statusResponse(outcome));
}

auto CallerHandler::runCall(const Caller& caller, const HttpRequest& request, CallerRequest parsed, IHttpResponder& responder,
                            const accounts::Token& token) -> Async<void>
{
    const auto startedAt = m_services.clock->now();
    const auto id = "call-" + framework::randomHex(s_idBytes);
    const auto model = routeOf(parsed);
    const auto timeout = requestedTimeout(request);
    const auto callNumber = m_nextCallNumber++;
    const auto cancellation = std::make_shared<framework::Cancellation>();
    m_runningCalls[callNumber] = {caller, cancellation};
    responder.onDisconnect([cancellation] { cancellation->cancel(); });

    auto sink = AnswerSink(responder, id, model, wantsStream(parsed));
    auto outcome = CallOutcome();
    auto chatCompletions = false;
    if (const auto* call = std::get_if<ProgramCallRequest>(&parsed)) {
        outcome = co_await m_services.programs->call(
            {caller.account, call->program, call->call, call->turn, call->route, call->body, timeout}, sink, cancellation);
    } else {
        const auto& single = std::get<SingleCallRequest>(parsed);
        chatCompletions = single.chatCompletions;
        outcome = co_await m_services.calls->run({caller.account, single.route, {}, single.idempotencyKey, single.body, timeout}, sink,
                                                 cancellation);
    }
    m_runningCalls.erase(callNumber);
    if (const auto* failure = std::get_if<CallFailure>(&outcome); failure != nullptr && failure->ran == Ran::No) {
        m_services.limits->giveBack(token);
    }
    const auto elapsed = std::chrono::duration<double, std::milli>(m_services.clock->now() - startedAt);
    m_services.metrics->record("call_duration_ms", elapsed.count(), {{"route", model}});
    recordCall(caller, parsed, outcome, elapsed.count());
    co_await writeOutcome(std::move(outcome), sink, responder, id, model, chatCompletions);
}

auto CallerHandler::writeOutcome(CallOutcome outcome, AnswerSink& sink, IHttpResponder& responder, const std::string& id,
                                 const std::string& model, bool chatCompletions) -> Async<void>
{
    if (const auto* failure = std::get_if<CallFailure>(&outcome)) {
        if (!sink.hasStarted()) {
            co_await reject(*failure, responder);
            co_return;
        }
        m_services.metrics->count("failed_streams_total", {{"code", failure->code}});
        (void)co_await responder.writeChunk(failureEvent(*failure));
        (void)co_await responder.endStream();
        co_return;
    }
    const auto& answer = std::get<CallAnswer>(outcome);
    m_services.metrics->count("answered_total");
    if (!sink.isStreaming() || answer.contentType != "text/event-stream") {
        (void)co_await responder.respond(answerResponse(answer, id, model, chatCompletions));
        co_return;
    }
    if (!sink.hasStarted() && !answer.body.empty()) {
        (void)co_await sink.piece(answer.body);
    }
    (void)co_await sink.startStream();
    (void)co_await responder.writeChunk(closingEvents(id, model, answer));
    (void)co_await responder.endStream();
}

auto CallerHandler::recordProgramEnd(const std::string& account, const programs::StatusOutcome& outcome) -> void
{
    const auto* status = std::get_if<programs::ProgramStatus>(&outcome);
    if (status == nullptr || status->startedAtMs == 0) {
        return;
    }
    const auto now = framework::unixMilliseconds(m_services.clock->wallTime());
    const auto elapsed = static_cast<double>(now) - static_cast<double>(status->startedAtMs);
    m_services.figures->note(reporting::ProgramFigure{account, std::max(elapsed, 0.0), status->turns});
}

auto CallerHandler::recordRefusal(const std::string& account, std::string_view code) -> void
{
    m_services.figures->note(reporting::CallFigure{account, reporting::CallEnd::Refused, std::string(code), 0, false, 0, 0});
}

auto CallerHandler::recordCall(const Caller& caller, const CallerRequest& parsed, const CallOutcome& outcome, double milliseconds) -> void
{
    auto figure = reporting::CallFigure();
    figure.account = caller.account;
    figure.milliseconds = milliseconds;
    if (const auto* call = std::get_if<ProgramCallRequest>(&parsed)) {
        figure.isLaterTurn = call->turn > 1;
    }
    if (const auto* answer = std::get_if<CallAnswer>(&outcome)) {
        figure.end = answer->repeated ? reporting::CallEnd::Repeated : reporting::CallEnd::RunOnce;
        figure.promptTokens = answer->usage.prompt;
        figure.cachedTokens = answer->usage.cached;
    } else {
        const auto& failure = std::get<CallFailure>(outcome);
        figure.code = failure.code;
        figure.end = failure.ran == Ran::No              ? reporting::CallEnd::Refused
                     : failure.code == "outcome_unknown" ? reporting::CallEnd::Unknown
                                                         : reporting::CallEnd::Failed;
    }
    m_services.figures->note(figure);
}

auto CallerHandler::cancelWithdrawnCallers() -> void
{
    const auto runningCalls = m_runningCalls;
    for (const auto& [number, entry] : runningCalls) {
        if (!entry.caller.account.empty() && !m_services.keys->isValid(entry.caller)) {
            m_services.metrics->count("cut_by_withdrawal_total");
            entry.cancellation->cancel();
        }
    }
}

} // namespace laburnummill::gateway
