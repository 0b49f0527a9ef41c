#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "framework/http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::backends {

/// Whether a request was executed. A failure carries `No` only if this is certain.
enum class Ran
{
    No,
    Unknown,
    Yes,
};

auto ranName(Ran ran) -> std::string_view;
auto ranFromName(std::string_view name) -> std::optional<Ran>;

/// One request to a back end. It contains only what may be forwarded and has no field for the caller's API key.
struct BackendRequest
{
    std::string backend; ///< name, for logs
    framework::Endpoint address;
    std::string method;
    std::string path;
    std::string body; ///< JSON
    std::string requestId;
    std::string program; ///< program whose prompts the engine caches; empty if the request belongs to no program
    std::uint64_t fencing = 0;
    framework::Milliseconds timeout{60'000};
};

/// Token counts reported by a model engine.
struct TokenUsage
{
    std::uint64_t prompt = 0;
    std::uint64_t cached = 0; ///< part of the prompt found in the engine's cache
    std::uint64_t completion = 0;

    auto operator==(const TokenUsage&) const -> bool = default;
};

/// A complete response.
struct BackendAnswer
{
    unsigned status = 200;
    std::string contentType;
    std::string body; ///< a plain service's body, or the text that a model engine generated
    TokenUsage usage;

    auto operator==(const BackendAnswer&) const -> bool = default;
};

/// The reason for a missing or incomplete response.
struct BackendFailure
{
    std::error_code error;
    Ran ran = Ran::Unknown;

    auto operator==(const BackendFailure&) const -> bool = default;
};

/// Receives the pieces of a streamed response as they arrive.
class IPieceSink
{
public:
    virtual ~IPieceSink() = default;

    /// Handles the next piece of generated text. A failure cancels the request, because the response is no longer needed.
    virtual auto piece(std::string text) -> framework::AsyncResult<void> = 0;
};

} // namespace laburnummill::backends
