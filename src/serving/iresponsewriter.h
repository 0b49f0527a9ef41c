#pragma once

#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "serving/iwirecodec.h"
#include "serving/servingerrors.h"

#include <string>

namespace laburnummill::serving {

/// Takes the answer to one request back to its caller.
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// An answer of our own.
    virtual auto sendRefusal(Refusal refusal, std::optional<framework::Milliseconds> retryAfter) -> framework::Async<void> = 0;

    /// A backend server's whole answer.
    virtual auto sendWhole(const http::response_header<>& head, std::string body) -> framework::Async<bool> = 0;

    /// A backend server's answer that comes in pieces; false where the caller has gone.
    virtual auto beginStream(const http::response_header<>& head) -> framework::Async<bool> = 0;
    virtual auto sendChunk(std::string_view bytes) -> framework::Async<bool> = 0;
    virtual auto endStream() -> framework::Async<bool> = 0;

    /// Breaks an answer off so that it does not look complete.
    virtual auto abort() -> void = 0;

    virtual auto hasStarted() const -> bool = 0;

    /// Told when the caller leaves.
    virtual auto callerDisconnect() -> framework::Cancellation& = 0;
};

} // namespace laburnummill::serving
