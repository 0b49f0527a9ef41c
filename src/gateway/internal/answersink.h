#pragma once

#include "backends/backendtypes.h"
#include "framework/http/ihttphandler.h"

#include <string>

namespace laburnummill::gateway {

/// Streams pieces of an answer to the caller as server-sent events. Drops them if the caller did not request streaming.
class AnswerSink final : public backends::IPieceSink
{
public:
    AnswerSink(framework::IHttpResponder& responder, std::string id, std::string model, bool stream);

    auto piece(std::string text) -> framework::AsyncResult<void> override;

    /// Sends the response headers unless they have already been sent.
    auto startStream() -> framework::AsyncResult<void>;

    auto isStreaming() const -> bool { return m_stream; }
    auto hasStarted() const -> bool { return m_responder.hasStarted(); }

private:
    framework::IHttpResponder& m_responder;
    std::string m_id;
    std::string m_model;
    bool m_stream;
};

} // namespace laburnummill::gateway
