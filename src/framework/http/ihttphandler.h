#pragma once

#include "framework/global/async.h"
#include "framework/http/httperrors.h"
#include "framework/http/httptypes.h"

#include <functional>

namespace laburnummill::framework {

/// Where the answer to one request goes: either one whole response or a stream of chunks.
class IHttpResponder
{
public:
    virtual ~IHttpResponder() = default;

    /// Sends a whole response.
    virtual auto respond(HttpResponse response) -> AsyncResult<void> = 0;

    /// Sends the head of a chunked response.
    virtual auto beginStream(unsigned status, Headers headers) -> AsyncResult<void> = 0;

    /// Sends one chunk; CallerGone or TimedOut where the caller does not take it.
    virtual auto writeChunk(std::string chunk) -> AsyncResult<void> = 0;

    /// Sends the end of the stream. A stream that is not ended is cut, so that the caller sees it as broken.
    virtual auto endStream() -> AsyncResult<void> = 0;

    /// True once the head of an answer has been sent.
    virtual auto hasStarted() const -> bool = 0;

    /// Calls `handler` when the caller closes the connection while its request is handled.
    virtual auto onDisconnect(std::function<void()> handler) -> void = 0;
};

/// Answers requests.
class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    virtual auto handle(const HttpRequest& request, IHttpResponder& responder) -> Async<void> = 0;

    /// The answer to a message that is not valid HTTP or exceeds a limit.
    virtual auto rejection(std::error_code error) -> HttpResponse = 0;
};

} // namespace laburnummill::framework
