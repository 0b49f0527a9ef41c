#include "calls/calltypes.h"

#include "framework/global/nametable.h"

namespace laburnummill::calls {

using framework::FailureKind;
using framework::Json;

namespace {

constexpr auto s_failureKindNames = framework::NameTable<FailureKind, 10>{{
    {FailureKind::BadRequest, "bad_request"},
    {FailureKind::Unauthenticated, "unauthenticated"},
    {FailureKind::Forbidden, "forbidden"},
    {FailureKind::NotFound, "not_found"},
    {FailureKind::Conflict, "conflict"},
    {FailureKind::TooLarge, "too_large"},
    {FailureKind::RateLimited, "rate_limited"},
    {FailureKind::Unavailable, "unavailable"},
    {FailureKind::Timeout, "timeout"},
    {FailureKind::Internal, "internal"},
}};

} // namespace

auto callFailure(const std::error_code& error, Ran ran, std::optional<framework::Milliseconds> retryAfter) -> CallFailure
{
    return {std::string(framework::codeOf(error)), error.message(), framework::kindOf(error), ran, retryAfter};
}

auto failureKindName(FailureKind kind) -> std::string_view
{
    return framework::nameOf(s_failureKindNames, kind);
}

auto failureKindFromName(std::string_view name) -> std::optional<FailureKind>
{
    return framework::valueOf(s_failureKindNames, name);
}

auto toJson(const CallAnswer& answer) -> Json
{
    return {
        {"status", answer.status},
        {"contentType", answer.contentType},
        {"body", answer.body},
        {"promptTokens", answer.usage.prompt},
        {"cachedTokens", answer.usage.cached},
        {"completionTokens", answer.usage.completion},
        {"backend", answer.backend},
        {"repeated", answer.repeated},
        {"held", answer.held},
    };
}

auto answerFromJson(const Json& document) -> CallAnswer
{
    auto answer = CallAnswer();
    answer.status = static_cast<unsigned>(framework::integerAt(document, "status", 200));
    answer.contentType = framework::stringAt(document, "contentType");
    answer.body = framework::stringAt(document, "body");
    answer.usage.prompt = static_cast<std::uint64_t>(framework::integerAt(document, "promptTokens"));
    answer.usage.cached = static_cast<std::uint64_t>(framework::integerAt(document, "cachedTokens"));
    answer.usage.completion = static_cast<std::uint64_t>(framework::integerAt(document, "completionTokens"));
    answer.backend = framework::stringAt(document, "backend");
    answer.repeated = framework::boolAt(document, "repeated");
    answer.held = framework::boolAt(document, "held");
    return answer;
}

auto toJson(const CallFailure& failure) -> Json
{
    auto document = Json{
        {"code", failure.code},
        {"text", failure.text},
        {"kind", failureKindName(failure.kind)},
        {"ran", backends::ranName(failure.ran)},
    };
    if (failure.retryAfter) {
        document["retryAfterMs"] = failure.retryAfter->count();
    }
    return document;
}

auto failureFromJson(const Json& document) -> CallFailure
{
    auto failure = CallFailure();
    failure.code = framework::stringAt(document, "code", "internal");
    failure.text = framework::stringAt(document, "text");
    failure.kind = failureKindFromName(framework::stringAt(document, "kind")).value_or(FailureKind::Internal);
    failure.ran = backends::ranFromName(framework::stringAt(document, "ran")).value_or(Ran::Unknown);
    if (document.is_object() && document.contains("retryAfterMs")) {
        failure.retryAfter = framework::Milliseconds(framework::integerAt(document, "retryAfterMs"));
    }
    return failure;
}

} // namespace laburnummill::calls
