#pragma once

#include "backends/backendtypes.h"
#include "coordination/coordinationtypes.h"
#include "framework/global/errorcategory.h"
#include "framework/global/json.h"
#include "framework/global/time.h"

#include <optional>
#include <string>
#include <variant>

namespace laburnummill::calls {

using backends::Ran;

/// One call of a caller, or of a program's owner on behalf of it.
struct CallRequest
{
    std::string account;
    std::string route;
    std::string program;                     ///< empty without a program
    std::string idempotencyKey;              ///< unique within the account; empty for calls that may be repeated
    std::string body;                        ///< JSON object
    framework::Milliseconds timeout{60'000}; ///< until the caller's deadline

    /// Under which this host acts, if under any: looked at again right before the request is sent.
    std::optional<coordination::ShardKey> shard{};
};

/// A call's whole answer.
struct CallAnswer
{
    unsigned status = 200;
    std::string contentType;
    std::string body; ///< for a model: the generated text
    backends::TokenUsage usage;
    std::string backend;
    bool repeated = false; ///< the stored answer of an earlier run
    bool held = false;     ///< its record is held by the owner and its peers until the store is back

    auto operator==(const CallAnswer&) const -> bool = default;
};

/// A failure as callers see it; crosses between daemons.
struct CallFailure
{
    std::string code; ///< stable, e.g. "rate_exceeded"
    std::string text;
    framework::FailureKind kind = framework::FailureKind::Internal;
    Ran ran = Ran::No;
    std::optional<framework::Milliseconds> retryAfter; ///< nothing: trying again is no use

    auto operator==(const CallFailure&) const -> bool = default;
};

using CallOutcome = std::variant<CallAnswer, CallFailure>;

/// The failure that `error` is to a caller.
auto callFailure(const std::error_code& error, Ran ran, std::optional<framework::Milliseconds> retryAfter = std::nullopt) -> CallFailure;

/// Names of failure kinds, for messages between daemons.
auto failureKindName(framework::FailureKind kind) -> std::string_view;
auto failureKindFromName(std::string_view name) -> std::optional<framework::FailureKind>;

auto toJson(const CallAnswer& answer) -> framework::Json;
auto answerFromJson(const framework::Json& document) -> CallAnswer;
auto toJson(const CallFailure& failure) -> framework::Json;
auto failureFromJson(const framework::Json& document) -> CallFailure;

} // namespace laburnummill::calls
