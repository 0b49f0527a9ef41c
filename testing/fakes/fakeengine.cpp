#include "testing/fakes/fakeengine.h"

#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"
#include "testing/fakes/fakeanswers.h"

#include <algorithm>
#include <charconv>

namespace laburnummill::testing {

using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::IHttpResponder;
using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_bytesPerToken = std::uint64_t{4};
constexpr auto s_defaultWords = std::int64_t{8};
constexpr auto s_maxReceived = std::size_t{10'000};

auto wordsFor(const Json& body) -> std::vector<std::string>
{
    const auto count = framework::integerAt(body, "max_tokens", s_defaultWords);
    const auto messages = body.value("messages", Json::array());
    auto words = std::vector<std::string>{"reply-to-" + std::to_string(messages.size())};
    for (auto index = std::int64_t{1}; index < count; ++index) {
        words.push_back(" word" + std::to_string(index));
    }
    return words;
}

auto event(const Json& data) -> std::string
{
    return "data: " + framework::dumpJson(data) + "\n\n";
}

auto wordEvent(const std::string& id, const std::string& word) -> std::string
{
    auto choice = Json{{"index", 0}, {"delta", {{"content", word}}}, {"finish_reason", nullptr}};
    return event({{"id", id}, {"object", "chat.completion.chunk"}, {"choices", Json::array({std::move(choice)})}});
}

auto usageEvent(const std::string& id, std::uint64_t prompt, std::uint64_t cached, std::uint64_t completion) -> std::string
{
    return event(
        {{"id", id},
         {"object", "chat.completion.chunk"},
         {"choices", Json::array()},
         {"usage",
          {{"prompt_tokens", prompt}, {"completion_tokens", completion}, {"prompt_tokens_details", {{"cached_tokens", cached}}}}}});
}

} // namespace

FakeEngine::FakeEngine(Milliseconds tokenInterval)
    : m_tokenInterval(tokenInterval)
    , m_startId(framework::randomHex(8))
{}

auto FakeEngine::rejection(std::error_code /*error*/) -> HttpResponse
{
    return fakeAnswer(400, Json::object());
}

auto FakeEngine::handle(const HttpRequest& request, IHttpResponder& responder) -> Async<void>
{
    if (co_await answerFaults(m_faults, request, responder)) {
        co_return;
    }
    if (request.path == "/counts") {
        (void)co_await responder.respond(fakeAnswer(200, {{"running", m_running}, {"mostAtOnce", m_mostAtOnce}}));
        co_return;
    }
    if (request.path == "/received") {
        (void)co_await responder.respond(fakeAnswer(200, m_received));
        co_return;
    }
    const auto isPoll = request.path == "/load" || request.path == "/cache_events";
    if (!isPoll && m_received.size() < s_maxReceived) {
        m_received.push_back(describeRequest(request));
    }
    while (m_faults.hang) {
        co_await framework::sleepFor(Milliseconds(10));
    }
    if (request.path == "/load") {
        (void)co_await responder.respond(fakeAnswer(200, loadReport()));
    } else if (request.path == "/cache_events") {
        auto after = std::uint64_t{0};
        const auto digits = std::string_view(request.query).substr(std::min<std::size_t>(6, request.query.size()));
        std::from_chars(digits.data(), digits.data() + digits.size(), after);
        (void)co_await responder.respond(fakeAnswer(200, cacheEvents(after)));
    } else if (request.path.starts_with("/orders/")) {
        (void)co_await responder.respond(takeOrder(request));
    } else {
        co_await generate(request, responder);
    }
}

auto FakeEngine::crash() -> void
{
    ++m_generation;
    m_startId = framework::randomHex(8);
    m_held.clear();
    m_running = 0;
    m_faults.cold = true;
}

auto FakeEngine::hold(const std::string& program, std::uint64_t tokens) -> void
{
    if (!program.empty()) {
        m_held[program] = tokens;
        m_events.push_back({{"sequence", m_events.size() + 1}, {"program", program}, {"tokens", tokens}});
    }
}

auto FakeEngine::generate(const HttpRequest& request, IHttpResponder& responder) -> Async<void>
{
    auto id = std::string(framework::headerValue(request.headers, s_requestIdHeader));
    const auto body = framework::parseJson(request.body).value_or(Json::object());
    if (m_faults.down) {
        (void)co_await responder.respond(fakeAnswer(503, Json::object(), id));
        co_return;
    }
    if (!m_faults.crashOn.empty() && request.body.find(m_faults.crashOn) != std::string::npos) {
        crash();
        co_return;
    }
    if (m_faults.crossAnswers > 0) {
        --m_faults.crossAnswers;
        id = "another-request";
    }
    const auto generation = m_generation;
    ++m_running;
    m_mostAtOnce = std::max(m_mostAtOnce, m_running);
    if (m_faults.delayMs > 0) {
        co_await framework::sleepFor(Milliseconds(m_faults.delayMs));
    }
    const auto program = std::string(framework::headerValue(request.headers, "X-Program"));
    const auto promptTokens = body.value("messages", Json::array()).dump().size() / s_bytesPerToken;
    const auto cachedTokens = std::min<std::uint64_t>(m_held.contains(program) ? m_held[program] : 0, promptTokens);
    const auto words = wordsFor(body);
    co_await streamWords(id, words, promptTokens, cachedTokens, responder);
    if (generation == m_generation) {
        --m_running;
        hold(program, promptTokens + words.size());
    }
}

auto FakeEngine::streamWords(const std::string& id, const std::vector<std::string>& words, std::uint64_t promptTokens,
                             std::uint64_t cachedTokens, IHttpResponder& responder) -> Async<void>
{
    const auto generation = m_generation;
    if (!co_await responder.beginStream(200, {{"Content-Type", "text/event-stream"}, {s_requestIdHeader, id}})) {
        co_return;
    }
    for (auto index = std::size_t{0}; index < words.size(); ++index) {
        if (m_tokenInterval.count() > 0 && (index > 0 || !m_faults.firstTokenAtOnce)) {
            co_await framework::sleepFor(m_tokenInterval);
        }
        const auto breaksOff = m_faults.truncateAnswers > 0 && index == words.size() / 2;
        if (breaksOff) {
            --m_faults.truncateAnswers;
        }
        if (breaksOff || generation != m_generation || !co_await responder.writeChunk(wordEvent(id, words[index]))) {
            co_return;
        }
    }
    (void)co_await responder.writeChunk(usageEvent(id, promptTokens, cachedTokens, words.size()) + "data: [DONE]\n\n");
    (void)co_await responder.endStream();
}

auto FakeEngine::takeOrder(const HttpRequest& request) -> HttpResponse
{
    const auto body = framework::parseJson(request.body).value_or(Json::object());
    const auto fencing = static_cast<std::uint64_t>(framework::integerAt(body, "fencing"));
    if (fencing < m_fencing) {
        return fakeAnswer(412, {{"fencing", m_fencing}});
    }
    m_fencing = fencing;
    if (request.path == "/orders/release") {
        m_held.erase(framework::stringAt(body, "program"));
        m_events.push_back({{"sequence", m_events.size() + 1}, {"program", framework::stringAt(body, "program")}, {"tokens", 0}});
    } else if (request.path == "/orders/load_model") {
        m_models.insert(framework::stringAt(body, "model"));
    }
    return fakeAnswer(200, Json::object());
}

auto FakeEngine::loadReport() const -> Json
{
    auto programs = Json::array();
    for (const auto& [program, tokens] : m_held) {
        programs.push_back(program);
    }
    return {{"startId", m_startId},  {"running", m_running}, {"waiting", 0},
            {"cold", m_faults.cold}, {"models", m_models},   {"programs", programs}};
}

auto FakeEngine::cacheEvents(std::uint64_t after) const -> Json
{
    auto events = Json::array();
    for (auto index = after; index < m_events.size(); ++index) {
        events.push_back(m_events[index]);
    }
    return {{"events", events}};
}

} // namespace laburnummill::testing
