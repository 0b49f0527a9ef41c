#include "gateway/internal/answersink.h"

#include "gateway/internal/answers.h"

namespace laburnummill::gateway {

using framework::AsyncResult;
using framework::success;

AnswerSink::AnswerSink(framework::IHttpResponder& responder, std::string id, std::string model, bool stream)
    : m_responder(responder)
    , m_id(std::move(id))
    , m_model(std::move(model))
    , m_stream(stream)
{}

auto AnswerSink::startStream() -> AsyncResult<void>
{
    if (m_responder.hasStarted()) {
        co_return success();
    }
    co_return co_await m_responder.beginStream(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
}

auto AnswerSink::piece(std::string text) -> AsyncResult<void>
{
    if (!m_stream) {
        co_return success();
    }
    BOOST_OUTCOME_CO_TRYV(co_await startStream());
    co_return co_await m_responder.writeChunk(textEvent(m_id, m_model, text));
}

} // namespace laburnummill::gateway
