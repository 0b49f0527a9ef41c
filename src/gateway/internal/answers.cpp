#include "gateway/internal/answers.h"

#include <algorithm>

namespace laburnummill::gateway {

using calls::CallAnswer;
using calls::CallFailure;
using framework::FailureKind;
using framework::HttpResponse;
using framework::Json;

namespace {

auto event(const Json& data) -> std::string
{
    return "data: " + framework::dumpJson(data) + "\n\n";
}

auto usageBody(const CallAnswer& answer) -> Json
{
    return {{"prompt_tokens", answer.usage.prompt},
            {"completion_tokens", answer.usage.completion},
            {"total_tokens", answer.usage.prompt + answer.usage.completion},
            {"prompt_tokens_details", {{"cached_tokens", answer.usage.cached}}}};
}

auto chunk(const std::string& id, const std::string& model, Json delta, const Json& finishReason) -> Json
{
    return {{"id", id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", model},
            {"choices", Json::array({{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", finishReason}}})}};
}

} // namespace

auto statusOf(FailureKind kind) -> unsigned
{
    switch (kind) {
    case FailureKind::BadRequest:
        return 400;
    case FailureKind::Unauthenticated:
        return 401;
    case FailureKind::Forbidden:
        return 403;
    case FailureKind::NotFound:
        return 404;
    case FailureKind::Conflict:
        return 409;
    case FailureKind::TooLarge:
        return 413;
    case FailureKind::RateLimited:
        return 429;
    case FailureKind::Unavailable:
        return 503;
    case FailureKind::Timeout:
        return 504;
    case FailureKind::Internal:
        return 500;
    }
    return 500;
}

auto failureBody(const CallFailure& failure) -> Json
{
    auto error = Json{
        {"code", failure.code},
        {"message", failure.text},
        {"type", calls::failureKindName(failure.kind)},
        {"ran", backends::ranName(failure.ran)},
        {"retry", failure.retryAfter.has_value()},
    };
    if (failure.retryAfter) {
        error["retry_after_ms"] = failure.retryAfter->count();
    }
    return {{"error", std::move(error)}};
}

auto jsonResponse(unsigned status, const Json& body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, framework::dumpJson(body)};
}

auto failureResponse(const CallFailure& failure) -> HttpResponse
{
    auto response = jsonResponse(statusOf(failure.kind), failureBody(failure));
    if (failure.retryAfter) {
        const auto seconds = std::chrono::ceil<framework::Seconds>(*failure.retryAfter).count();
        response.headers["Retry-After"] = std::to_string(std::max<std::int64_t>(seconds, 1));
    }
    return response;
}

auto answerResponse(const CallAnswer& answer, const std::string& id, const std::string& model, bool chatCompletions) -> HttpResponse
{
    const auto isGenerated = answer.contentType == "text/event-stream";
    if (!isGenerated) {
        auto response = HttpResponse{answer.status, {{"Content-Type", answer.contentType}}, answer.body};
        response.headers["X-Repeated"] = answer.repeated ? "true" : "false";
        response.headers["X-Held"] = answer.held ? "true" : "false";
        return response;
    }
    auto body =
        Json{{"id", id},
             {"object", "chat.completion"},
             {"created", 0},
             {"model", model},
             {"choices",
              Json::array({{{"index", 0}, {"message", {{"role", "assistant"}, {"content", answer.body}}}, {"finish_reason", "stop"}}})},
             {"usage", usageBody(answer)}};
    if (!chatCompletions) {
        body["repeated"] = answer.repeated;
        body["held"] = answer.held;
    }
    return jsonResponse(200, body);
}

auto statusBody(const programs::ProgramStatus& status) -> Json
{
    return {{"program", status.program}, {"turns", status.turns}, {"tokens", status.tokens}, {"ended", status.ended}};
}

auto textEvent(const std::string& id, const std::string& model, const std::string& text) -> std::string
{
    return event(chunk(id, model, {{"content", text}}, nullptr));
}

auto closingEvents(const std::string& id, const std::string& model, const CallAnswer& answer) -> std::string
{
    auto last = chunk(id, model, Json::object(), "stop");
    last["usage"] = usageBody(answer);
    if (answer.held) {
        last["held"] = true;
    }
    return event(last) + "data: [DONE]\n\n";
}

auto failureEvent(const CallFailure& failure) -> std::string
{
    return event(failureBody(failure));
}

} // namespace laburnummill::gateway
