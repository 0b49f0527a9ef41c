#include "testing/fakes/fakeservice.h"

#include "framework/global/asyncqueue.h"
#include "testing/fakes/fakeanswers.h"

namespace laburnummill::testing {

using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_maxReceived = std::size_t{10'000};

} // namespace

auto FakeService::rejection(std::error_code /*error*/) -> HttpResponse
{
    return fakeAnswer(400, Json::object());
}

auto FakeService::handle(const HttpRequest& request, framework::IHttpResponder& responder) -> Async<void>
{
    if (co_await answerFaults(m_faults, request, responder)) {
        co_return;
    }
    if (request.path == "/runs") {
        (void)co_await responder.respond(fakeAnswer(200, m_runs));
        co_return;
    }
    if (request.path == "/load") {
        (void)co_await responder.respond(fakeAnswer(200, {{"startId", m_startId}, {"running", 0}, {"cold", m_faults.cold}}));
        co_return;
    }
    if (request.path == "/received") {
        (void)co_await responder.respond(fakeAnswer(200, m_received));
        co_return;
    }
    if (m_received.size() < s_maxReceived) {
        m_received.push_back(describeRequest(request));
    }
    auto id = std::string(framework::headerValue(request.headers, s_requestIdHeader));
    while (m_faults.hang) {
        co_await framework::sleepFor(Milliseconds(10));
    }
    if (m_faults.down) {
        (void)co_await responder.respond(fakeAnswer(503, Json::object(), id));
        co_return;
    }
    if (!m_faults.crashOn.empty() && request.body.find(m_faults.crashOn) != std::string::npos) {
        co_return;
    }
    ++m_runs[request.path + " " + request.body];
    const auto receipt = ++m_receipts;
    if (m_faults.delayMs > 0) {
        co_await framework::sleepFor(Milliseconds(m_faults.delayMs));
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return;
    }
    if (m_faults.crossAnswers > 0) {
        --m_faults.crossAnswers;
        id = "another-request";
    }
    (void)co_await responder.respond(fakeAnswer(200, {{"receipt", receipt}, {"path", request.path}}, id));
}

} // namespace laburnummill::testing
