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
    std::string parent; ///< parent program of a sub-agent; empty for a top-level program

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

/// A call that belongs to no program.
struct SingleCallRequest
{
    std::string route;
    std::string idempotencyKey;
    std::string body;
    bool stream = false;
    bool chatCompletions = false; ///< the response uses the chat-completions format

    auto operator==(const SingleCallRequest&) const -> bool = default;
};

using CallerRequest = std::variant<StartProgramRequest, ProgramStatusRequest, EndProgramRequest, ProgramCallRequest, SingleCallRequest>;

/// Parses and validates a caller's HTTP request. Returns a GatewayError if the path, method or body is invalid.
auto parseCallerRequest(const framework::HttpRequest& request) -> framework::Result<CallerRequest>;

/// The API key from the "Authorization: Bearer" or "X-Api-Key" header; empty if neither is present.
auto presentedKey(const framework::HttpRequest& request) -> std::string_view;

/// The timeout from the "X-Timeout-Ms" header, capped at 600 s; 60 s if the header is missing or invalid.
auto requestedTimeout(const framework::HttpRequest& request) -> framework::Milliseconds;

} // namespace laburnummill::gateway
