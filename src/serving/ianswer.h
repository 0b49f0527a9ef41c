#pragma once

#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "serving/iwire.h"
#include "serving/servingerrors.h"

#include <string>

namespace laburnummill::serving {

/// Takes the answer to one request back to its caller.
class IAnswer
{
public:
    virtual ~IAnswer() = default;

    /// An answer of our own.
    virtual auto refuse(Refusal refusal, std::optional<framework::Milliseconds> retryAfter) -> framework::Async<void> = 0;

    /// A backend server's whole answer.
    virtual auto whole(const http::response_header<>& head, std::string body) -> framework::Async<bool> = 0;

    /// A backend server's answer that comes in pieces; false where the caller has gone.
    virtual auto begin(const http::response_header<>& head) -> framework::Async<bool> = 0;
    virtual auto piece(std::string_view bytes) -> framework::Async<bool> = 0;
    virtual auto end() -> framework::Async<bool> = 0;

    /// Breaks an answer off so that it does not look complete.
    virtual auto breakOff() -> void = 0;

    virtual auto hasBegun() const -> bool = 0;

    /// Told when the caller leaves.
    virtual auto callerLeft() -> framework::Cancellation& = 0;
};

} // namespace laburnummill::serving
