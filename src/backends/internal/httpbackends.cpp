#include "backends/internal/httpbackends.h"

#include "backends/internal/ssereader.h"
#include "framework/global/json.h"

namespace laburnummill::backends {

using framework::Async;
using framework::AsyncResult;
using framework::HttpError;
using framework::HttpRequest;
using framework::IHttpExchange;
using framework::Json;
using framework::success;

namespace {

constexpr auto s_requestIdHeader = "X-Request-Id";
constexpr auto s_endMarker = std::string_view("[DONE]");
constexpr auto s_maxAnswerBytes = std::size_t{64 * 1024 * 1024};
constexpr auto s_maxEventBytes = std::size_t{1024 * 1024};
constexpr auto s_connectTimeout = framework::Milliseconds(1'000);
constexpr auto s_commandTimeout = framework::Milliseconds(2'000);

//! NOTE These are all the headers that a back end receives. None of the caller's headers is forwarded.
auto toHttp(const BackendRequest& request) -> HttpRequest
{
    auto headers = framework::Headers{
        {"Content-Type", "application/json"},
        {s_requestIdHeader, request.requestId},
    };
    if (request.fencing != 0) {
        headers["X-Fencing-Number"] = std::to_string(request.fencing);
    }
    if (!request.program.empty()) {
        headers["X-Program"] = request.program;
    }
    return {request.method, request.path, {}, std::move(headers), request.body};
}

auto failureOf(const std::error_code& error) -> BackendFailure
{
    if (error == HttpError::ConnectFailed) {
        return {BackendError::Unreachable, Ran::No};
    }
    if (error == HttpError::TimedOut) {
        return {BackendError::TimedOut, Ran::Unknown};
    }
    if (error == HttpError::Truncated) {
        return {BackendError::Truncated, Ran::Unknown};
    }
    if (error == HttpError::BodyTooLarge) {
        return {BackendError::AnswerTooLarge, Ran::Yes};
    }
    return {BackendError::ConnectionLost, Ran::Unknown};
}

/// The failure that the response's status and request id indicate, or nullopt.
auto failureOfStatus(const IHttpExchange& exchange, const BackendRequest& request) -> std::optional<BackendFailure>
{
    if (framework::headerValue(exchange.headers(), s_requestIdHeader) != request.requestId) {
        return BackendFailure{BackendError::WrongAnswer, Ran::Unknown};
    }
    switch (exchange.status()) {
    case 429:
    case 503:
        return BackendFailure{BackendError::RefusedOverload, Ran::No};
    case 412:
        return BackendFailure{BackendError::RefusedStale, Ran::No};
    default:
        break;
    }
    if (exchange.status() >= 500) {
        return BackendFailure{BackendError::ServerFailure, Ran::Unknown};
    }
    return std::nullopt;
}

auto usageOf(const Json& event) -> TokenUsage
{
    const auto usage = event.value("usage", Json::object());
    if (!usage.is_object()) {
        return {};
    }
    const auto details = usage.value("prompt_tokens_details", Json::object());
    return {static_cast<std::uint64_t>(framework::integerAt(usage, "prompt_tokens")),
            static_cast<std::uint64_t>(framework::integerAt(details, "cached_tokens")),
            static_cast<std::uint64_t>(framework::integerAt(usage, "completion_tokens"))};
}

auto textOf(const Json& event) -> std::string
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
        return {};
    }
    const auto delta = (*choices)[0].value("delta", Json::object());
    return framework::stringAt(delta, "content");
}

/// Reads the events of a streamed response up to the end marker.
auto readStream(std::shared_ptr<IHttpExchange> exchange, const std::string& requestId, IPieceSink& sink) -> Async<BackendOutcome>
{
    auto answer = BackendAnswer{exchange->status(), "text/event-stream", {}, {}};
    auto reader = SseReader();
    while (true) {
        while (const auto data = reader.next()) {
            if (*data == s_endMarker) {
                (void)co_await exchange->readAll(s_maxEventBytes);
                co_return answer;
            }
            const auto event = framework::parseJson(*data);
            if (!event || !event->is_object() || framework::stringAt(*event, "id") != requestId) {
                exchange->cancel();
                co_return BackendFailure{BackendError::WrongAnswer, Ran::Unknown};
            }
            if (event->contains("usage") && (*event)["usage"].is_object()) {
                answer.usage = usageOf(*event);
            }
            auto text = textOf(*event);
            if (text.empty()) {
                continue;
            }
            answer.body += text;
            if (const auto taken = co_await sink.piece(std::move(text)); !taken) {
                exchange->cancel();
                co_return BackendFailure{BackendError::Cancelled, Ran::Unknown};
            }
        }
        if (reader.pending() > s_maxEventBytes || answer.body.size() > s_maxAnswerBytes) {
            exchange->cancel();
            co_return BackendFailure{BackendError::AnswerTooLarge, Ran::Yes};
        }
        const auto piece = co_await exchange->read();
        if (!piece) {
            co_return failureOf(piece.error());
        }
        if (!piece.value()) {
            co_return BackendFailure{BackendError::Truncated, Ran::Unknown};
        }
        reader.feed(*piece.value());
    }
}

} // namespace

HttpBackends::HttpBackends(framework::asio::any_io_executor executor)
    : m_client(std::move(executor))
{}

auto HttpBackends::generate(BackendRequest request, IPieceSink& sink, framework::CancellationPtr cancellation) -> Async<BackendOutcome>
{
    const auto timeouts = framework::HttpClientTimeouts{s_connectTimeout, request.timeout, request.timeout};
    auto opened = co_await m_client.open(request.address, toHttp(request), timeouts);
    if (!opened) {
        co_return failureOf(opened.error());
    }
    const auto exchange = opened.value();
    if (const auto failure = failureOfStatus(*exchange, request)) {
        exchange->cancel();
        co_return *failure;
    }
    if (exchange->status() >= 400) {
        auto body = co_await exchange->readAll(s_maxEventBytes);
        co_return BackendAnswer{exchange->status(), "application/json", body ? std::move(body.value()) : std::string(), {}};
    }
    if (cancellation) {
        cancellation->onCancel([weak = std::weak_ptr(exchange)] {
            if (const auto running = weak.lock()) {
                running->cancel();
            }
        });
    }
    co_return co_await readStream(exchange, request.requestId, sink);
}

auto HttpBackends::call(BackendRequest request) -> Async<BackendOutcome>
{
    const auto timeouts = framework::HttpClientTimeouts{s_connectTimeout, request.timeout, request.timeout};
    auto opened = co_await m_client.open(request.address, toHttp(request), timeouts);
    if (!opened) {
        co_return failureOf(opened.error());
    }
    const auto exchange = opened.value();
    if (const auto failure = failureOfStatus(*exchange, request)) {
        exchange->cancel();
        co_return *failure;
    }
    auto body = co_await exchange->readAll(s_maxAnswerBytes);
    if (!body) {
        co_return failureOf(body.error());
    }
    const auto contentType = std::string(framework::headerValue(exchange->headers(), "Content-Type"));
    co_return BackendAnswer{exchange->status(), contentType, std::move(body.value()), {}};
}

auto HttpBackends::load(const framework::Endpoint& engine) -> AsyncResult<EngineLoad>
{
    const auto timeouts = framework::HttpClientTimeouts{s_connectTimeout, s_commandTimeout, s_commandTimeout};
    BOOST_OUTCOME_CO_TRY(const auto response, co_await m_client.fetch(engine, {"GET", "/load", {}, {}, {}}, timeouts));
    const auto document = framework::parseJson(response.body).value_or(Json());
    if (response.status != 200 || !document.is_object()) {
        co_return BackendError::ServerFailure;
    }
    auto load = EngineLoad();
    load.startId = framework::stringAt(document, "startId");
    load.running = static_cast<std::uint32_t>(framework::integerAt(document, "running"));
    load.waiting = static_cast<std::uint32_t>(framework::integerAt(document, "waiting"));
    load.cold = framework::boolAt(document, "cold");
    load.models = document.value("models", std::vector<std::string>());
    load.programs = document.value("programs", std::vector<std::string>());
    co_return load;
}

auto HttpBackends::cacheEvents(const framework::Endpoint& engine, std::uint64_t sequence) -> AsyncResult<std::vector<CacheEvent>>
{
    const auto timeouts = framework::HttpClientTimeouts{s_connectTimeout, s_commandTimeout, s_commandTimeout};
    const auto request = HttpRequest{"GET", "/cache_events", "after=" + std::to_string(sequence), {}, {}};
    BOOST_OUTCOME_CO_TRY(const auto response, co_await m_client.fetch(engine, request, timeouts));
    const auto document = framework::parseJson(response.body).value_or(Json());
    if (response.status != 200 || !document.is_object()) {
        co_return BackendError::ServerFailure;
    }
    auto events = std::vector<CacheEvent>();
    for (const auto& entry : document.value("events", Json::array())) {
        events.push_back({static_cast<std::uint64_t>(framework::integerAt(entry, "sequence")), framework::stringAt(entry, "program"),
                          static_cast<std::uint64_t>(framework::integerAt(entry, "tokens"))});
    }
    co_return events;
}

auto HttpBackends::sendCommand(const framework::Endpoint& engine, std::string path, std::string body) -> AsyncResult<void>
{
    const auto timeouts = framework::HttpClientTimeouts{s_connectTimeout, s_commandTimeout, s_commandTimeout};
    const auto request = HttpRequest{"POST", std::move(path), {}, {{"Content-Type", "application/json"}}, std::move(body)};
    BOOST_OUTCOME_CO_TRY(const auto response, co_await m_client.fetch(engine, request, timeouts));
    if (response.status == 412) {
        co_return BackendError::RefusedStale;
    }
    if (response.status >= 300) {
        co_return BackendError::ServerFailure;
    }
    co_return success();
}

auto HttpBackends::release(const framework::Endpoint& engine, std::string program, std::uint64_t fencing) -> AsyncResult<void>
{
    co_return co_await sendCommand(engine, "/orders/release", framework::dumpJson({{"program", program}, {"fencing", fencing}}));
}

auto HttpBackends::loadModel(const framework::Endpoint& engine, std::string model, std::uint64_t fencing) -> AsyncResult<void>
{
    co_return co_await sendCommand(engine, "/orders/load_model", framework::dumpJson({{"model", model}, {"fencing", fencing}}));
}

} // namespace laburnummill::backends
