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

/// A call sent by a client or, for a turn of a program, by the program's owner on the client's behalf.
struct CallRequest
{
    std::string account;
    std::string route;
    std::string program;                     ///< empty if the call belongs to no program
    std::string idempotencyKey;              ///< unique within the account; empty for repeatable calls
    std::string body;                        ///< JSON object
    framework::Milliseconds timeout{60'000}; ///< remaining time until the caller's deadline

    /// Shard that this host must own to run the call, if any. Ownership is checked again immediately before sending.
    std::optional<coordination::ShardKey> shard{};
};

/// Complete answer to a call.
struct CallAnswer
{
    unsigned status = 200;
    std::string contentType;
    std::string body; ///< the generated text if the route leads to a model
    backends::TokenUsage usage;
    std::string backend;
    bool repeated = false; ///< this is the stored answer of an earlier run
    bool held = false;     ///< the store was unavailable, so only the owner and its peers hold the record

    auto operator==(const CallAnswer&) const -> bool = default;
};

/// A failure as returned to callers and sent between daemons.
struct CallFailure
{
    std::string code; ///< stable identifier, e.g. "rate_exceeded"
    std::string text;
    framework::FailureKind kind = framework::FailureKind::Internal;
    Ran ran = Ran::No;
    std::optional<framework::Milliseconds> retryAfter; ///< nullopt if a retry cannot succeed

    auto operator==(const CallFailure&) const -> bool = default;
};

using CallOutcome = std::variant<CallAnswer, CallFailure>;

/// Converts `error` to a failure that is returned to callers.
auto callFailure(const std::error_code& error, Ran ran, std::optional<framework::Milliseconds> retryAfter = std::nullopt) -> CallFailure;

/// Names of failure kinds in messages between daemons.
auto failureKindName(framework::FailureKind kind) -> std::string_view;
auto failureKindFromName(std::string_view name) -> std::optional<framework::FailureKind>;

auto toJson(const CallAnswer& answer) -> framework::Json;
auto answerFromJson(const framework::Json& document) -> CallAnswer;
auto toJson(const CallFailure& failure) -> framework::Json;
auto failureFromJson(const framework::Json& document) -> CallFailure;

} // namespace laburnummill::calls
