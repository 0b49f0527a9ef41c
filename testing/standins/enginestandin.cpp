#include "standins/enginestandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace laburnummill::testing {

namespace {

constexpr auto s_leaveHeader = "Server-Leaving: 1\r\n";
constexpr auto s_dripInterval = std::chrono::milliseconds(50);
constexpr auto s_healthTime = std::chrono::milliseconds(10);

auto whole(const std::string& id, unsigned status, const std::string& headers, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto breaksStreamsOff(EngineFault fault) -> bool
{
    return fault == EngineFault::BreakOff || fault == EngineFault::BreakInside || fault == EngineFault::EndInside ||
           fault == EngineFault::Reset || fault == EngineFault::Stall || fault == EngineFault::Drip;
}

auto reset(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code();
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

auto chunk(const std::string& data) -> std::string
{
    auto length = std::string(8, '\0');
    length.resize(static_cast<std::size_t>(std::snprintf(length.data(), length.size(), "%zx", data.size())));
    return length + "\r\n" + data + "\r\n";
}

} // namespace

EngineStandIn::EngineStandIn(asio::io_context& context, IEngineScript* script)
    : m_context(context)
    , m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_script(script == nullptr ? m_plainScript : *script)
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

auto EngineStandIn::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

auto EngineStandIn::accept() -> asio::awaitable<void>
{
    while (true) {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

auto EngineStandIn::serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>
{
    auto buffer = boost::beast::flat_buffer();
    auto isOpen = true;
    auto restsSince = std::chrono::steady_clock::now();
    while (isOpen) {
        auto request = http::request<http::string_body>();
        auto error = boost::system::error_code();
        co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (std::chrono::steady_clock::now() > restsSince + m_forgetsAfter) {
            reset(socket);
            break;
        }
        co_await sendLateAnswer(socket);
        isOpen = co_await respond(socket, request);
        restsSince = std::chrono::steady_clock::now();
    }
    m_lastAnswers.erase(&socket);
}

auto EngineStandIn::sendLateAnswer(asio::ip::tcp::socket& socket) -> asio::awaitable<void>
{
    const auto last = m_lastAnswers.find(&socket);
    if (last != m_lastAnswers.end() && m_fault == EngineFault::LateCopy) {
        co_await write(socket, last->second);
    } else if (last != m_lastAnswers.end() && m_fault == EngineFault::LateRefusal) {
        co_await write(socket, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
}

auto EngineStandIn::respond(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>
{
    const auto id = std::string(request["Request-Id"]);
    if (request.target() == "/health") {
        auto timer = asio::steady_timer(m_context, s_healthTime);
        co_await timer.async_wait(asio::use_awaitable);
        co_return co_await write(socket, "HTTP/1.1 200 OK\r\n" + m_load + "Content-Length: 0\r\n\r\n");
    }
    if (m_fault == EngineFault::NotRun) {
        co_return co_await write(socket, answer(id, 503, "Not-Executed: 1\r\n", "")) && !m_isLeaving;
    }
    if (m_fault == EngineFault::Misdirected) {
        co_return co_await write(socket, answer(id, 421, "", "")) && !m_isLeaving;
    }
    m_requests.push_back(request);
    m_script.began(request);
    if (m_fault == EngineFault::Garbage) {
        co_await write(socket, "this is no answer\r\n\r\n");
        co_return false;
    }
    if (co_await answerWithoutEnd(socket, request)) {
        co_return false;
    }
    if (m_fault == EngineFault::RawHead) {
        auto head = m_head;
        if (const auto place = head.find("ID"); place != std::string::npos) {
            head.replace(place, 2, id);
        }
        co_await write(socket, head + "answer");
        co_return false;
    }
    if (m_fault == EngineFault::BreakInHead) {
        const auto framing = m_framing == EngineFraming::Explicit ? std::string("Content-Length: 6\r\n") : std::string();
        const auto head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s1\r\n" + framing + "\r\n";
        co_await write(socket, head.substr(0, std::min(m_headBytes, head.size() - 1)));
        co_return false;
    }
    if (m_fault == EngineFault::Hang) {
        co_await waitUntilClosed(socket);
        co_return false;
    }
    if (m_fault == EngineFault::Hint) {
        co_await write(socket, "HTTP/1.1 102 Processing\r\n\r\n");
    }
    if (m_fault == EngineFault::Stray) {
        co_await write(socket, whole("another", 200, std::string("Response-Signature: other\r\n") + (m_isStrayLeaving ? s_leaveHeader : ""),
                                     "not yours"));
    }
    const auto target = std::string_view(request.target());
    if (target.starts_with("/turns/") || target.starts_with("/drafts/")) {
        co_return co_await stream(socket, request);
    }
    co_return co_await answerPlain(socket, request);
}

auto EngineStandIn::answerWithoutEnd(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request)
    -> asio::awaitable<bool>
{
    const auto id = std::string(request["Request-Id"]);
    if (m_fault == EngineFault::EndlessHead) {
        co_await writeWithoutEnd(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n", "X-Field: value\r\n");
        co_return true;
    }
    if (m_fault == EngineFault::EndlessHint) {
        co_await writeWithoutEnd(socket, "", "HTTP/1.1 100 Continue\r\n\r\n");
        co_return true;
    }
    const auto firstEvent = "id: 1\ndata: " + m_script.events(request).front() + "\n\n";
    if (m_fault == EngineFault::EndlessBody) {
        co_await writeWithoutEnd(
            socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s1\r\n\r\n" + firstEvent + "id: 2\ndata: ", "x");
        co_return true;
    }
    if (m_fault == EngineFault::EndlessChunkLine || m_fault == EngineFault::EndlessTrailer) {
        const auto start =
            "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent);
        const auto isLine = m_fault == EngineFault::EndlessChunkLine;
        co_await writeWithoutEnd(socket, start + (isLine ? "5;x=" : "0\r\nX-Field: "), "x");
        co_return true;
    }
    co_return false;
}

auto EngineStandIn::answerPlain(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>
{
    co_await pause();
    const auto id = std::string(request["Request-Id"]);
    const auto body = m_script.body(request);
    const auto* signature = m_fault == EngineFault::Unsigned ? "" : "Response-Signature: s1\r\n";
    auto text = answer(id, 200, signature, body);
    if (m_framing == EngineFraming::ConnectionEnd) {
        text = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + ownHeaders() + signature + "\r\n" + body;
    }
    if (m_fault == EngineFault::Reset) {
        co_await write(socket, text.substr(0, text.size() - body.size() / 2));
        reset(socket);
        co_return false;
    }
    co_return co_await write(socket, text) && !m_isLeaving && m_framing == EngineFraming::Explicit;
}

auto EngineStandIn::frame(const std::string& data) const -> std::string
{
    return m_framing == EngineFraming::Explicit ? chunk(data) : data;
}

/// Sends what a stream with a fault sends in place of its last event.
auto EngineStandIn::breakOff(asio::ip::tcp::socket& socket, const std::string& event) -> asio::awaitable<void>
{
    if (m_fault == EngineFault::BreakInside || m_fault == EngineFault::EndInside || m_fault == EngineFault::Reset) {
        co_await write(socket, frame(event.substr(0, event.size() - 2)));
    }
    if (m_fault == EngineFault::EndInside && m_framing == EngineFraming::Explicit) {
        co_await write(socket, "0\r\n\r\n");
    }
    // Between events, only a reset tells a break from the end where the end of the connection is the end of the stream.
    if (m_fault == EngineFault::Reset || (m_fault == EngineFault::BreakOff && m_framing == EngineFraming::ConnectionEnd)) {
        reset(socket);
    }
    if (m_fault == EngineFault::Stall) {
        co_await waitUntilClosed(socket);
    }
    if (m_fault == EngineFault::Drip) {
        auto timer = asio::steady_timer(m_context);
        while (co_await write(socket, frame("x"))) {
            timer.expires_after(s_dripInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        ++m_leftEarly;
    }
}

auto EngineStandIn::ownHeaders() const -> std::string
{
    const auto limit = m_limit.empty() ? std::string() : "Server-Limit: " + m_limit + "\r\n";
    return m_load + limit + (m_isLeaving ? std::string(s_leaveHeader) + "Connection: close\r\n" : std::string());
}

auto EngineStandIn::answer(const std::string& id, unsigned status, const std::string& headers, const std::string& body) const -> std::string
{
    return whole(id, status, ownHeaders() + headers, body);
}

auto EngineStandIn::stream(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>
{
    const auto events = m_script.events(request);
    const auto lastEvent = std::string(request["Last-Event-Id"]);
    const auto isLeaving = m_isLeaving;
    co_await write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"]) + "\r\n" + ownHeaders() +
                               "Response-Signature: s2\r\nContent-Type: text/event-stream\r\n" +
                               (m_framing == EngineFraming::Explicit ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    if (m_fault == EngineFault::BreakAtHead) {
        co_return false;
    }
    for (auto number = lastEvent.empty() ? std::size_t{1} : std::stoul(lastEvent) + 1; number <= events.size(); ++number) {
        co_await pause();
        const auto isLast = number == events.size();
        const auto event = "id: " + std::to_string(number) + "\ndata: " + events[number - 1] + "\n\n";
        if (isLast && breaksStreamsOff(m_fault)) {
            co_await breakOff(socket, event);
            co_return false;
        }
        if (!co_await write(socket, frame(event))) {
            co_return false;
        }
    }
    if (m_framing == EngineFraming::ConnectionEnd) {
        co_return false;
    }
    co_return co_await write(socket, "0\r\n\r\n") && !isLeaving;
}

auto EngineStandIn::writeWithoutEnd(asio::ip::tcp::socket& socket, std::string start, std::string repeated) -> asio::awaitable<void>
{
    constexpr auto blockBytes = std::size_t{16 * 1024};
    auto block = std::string();
    while (block.size() < blockBytes) {
        block += repeated;
    }
    auto isOpen = co_await write(socket, std::move(start));
    while (isOpen) {
        isOpen = co_await write(socket, block);
        m_endlessBytes += isOpen ? block.size() : 0;
        if (m_endlessPause.count() > 0) {
            auto timer = asio::steady_timer(m_context, m_endlessPause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

auto EngineStandIn::waitUntilClosed(asio::ip::tcp::socket& socket) -> asio::awaitable<void>
{
    auto byte = std::array<char, 1>();
    auto error = boost::system::error_code();
    co_await socket.async_read_some(asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
    ++m_leftEarly;
}

auto EngineStandIn::pause() -> asio::awaitable<void>
{
    if (m_script.pause().count() > 0) {
        auto timer = asio::steady_timer(m_context, m_script.pause());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto EngineStandIn::write(asio::ip::tcp::socket& socket, std::string text) -> asio::awaitable<bool>
{
    if (text.starts_with("HTTP/1.1 ")) {
        m_lastAnswers[&socket] = text;
    }
    auto error = boost::system::error_code();
    co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

} // namespace laburnummill::testing
