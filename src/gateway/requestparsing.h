#pragma once

#include "framework/global/result.h"
#include "framework/http/httptypes.h"
#include "gateway/gatewayerrors.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace laburnummill::gateway {

struct StartProgramRequest
{
    std::string parent; ///< a sub-agent's; empty otherwise

    auto operator==(const StartProgramRequest&) const -> bool = default;
};

struct ProgramStatusRequest
{
    std::string program;

    auto operator==(const ProgramStatusRequest&) const -> bool = default;
};

struct EndProgramRequest
{
    std::string program;

    auto operator==(const EndProgramRequest&) const -> bool = default;
};

struct ProgramCallRequest
{
    std::string program;
    std::string call;
    std::uint32_t turn = 0;
    std::string route;
    std::string body; ///< JSON object
    bool stream = false;

    auto operator==(const ProgramCallRequest&) const -> bool = default;
};

/// A call without a program.
struct SingleCallRequest
{
    std::string route;
    std::string idempotencyKey;
    std::string body;
    bool stream = false;
    bool chatCompletions = false; ///< answered in the chat-completions dialect

    auto operator==(const SingleCallRequest&) const -> bool = default;
};

using CallerRequest = std::variant<StartProgramRequest, ProgramStatusRequest, EndProgramRequest, ProgramCallRequest, SingleCallRequest>;

/// What a caller's HTTP request asks for.
auto parseCallerRequest(const framework::HttpRequest& request) -> framework::Result<CallerRequest>;

/// The key that a request shows: "Authorization: Bearer" or "X-Api-Key"; empty without one.
auto presentedKey(const framework::HttpRequest& request) -> std::string_view;

/// The caller's patience from "X-Timeout-Ms", within bounds; the default without one.
auto requestedTimeout(const framework::HttpRequest& request) -> framework::Milliseconds;

} // namespace laburnummill::gateway
