#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace laburnummill::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// What a backend server does with the next requests.
enum class EngineFault
{
    None,
    NotRun,           ///< 503 that says so
    Misdirected,      ///< 421
    Garbage,          ///< bytes that are no answer
    Stray,            ///< another request's answer stands before the right one
    BreakOff,         ///< the stream ends in its middle
    BreakInside,      ///< the stream ends in the middle of its last event
    EndInside,        ///< as BreakInside, but its framing is completed
    RawHead,          ///< the header of setHead(), then "answer", then the end of the connection
    BreakAtHead,      ///< the connection ends after the header of the answer
    BreakInHead,      ///< the connection ends within the header of the answer, after setHeadBytes()
    Reset,            ///< the connection is reset in the middle of the answer
    Hint,             ///< an informational response stands before the right one
    EndlessHead,      ///< a header without end
    EndlessHint,      ///< informational responses without end
    EndlessBody,      ///< a body, of a stream an event, without end
    EndlessChunkLine, ///< the line before a chunk, after one event, without end
    EndlessTrailer,   ///< fields after the last chunk without end
    Stall,            ///< the stream stops before its last event, its connection stays open
    Unsigned,         ///< a success without a signature
    Hang,             ///< no answer
    Drip,             ///< the stream's last event never ends, and a byte of it is sent every 50 ms
    LateCopy,         ///< a second copy of the connection's last answer stands before the right one
    LateRefusal,      ///< a 503 with Not-Executed and without an id stands before the right answer on a reused connection
};

/// What marks the end of an answer's body.
enum class EngineFraming
{
    Explicit,      ///< a length, of a stream its last chunk
    ConnectionEnd, ///< the end of the connection
};

/// What a stand-in of a backend server answers, and who is told what it ran.
class IEngineScript
{
public:
    virtual ~IEngineScript() = default;

    using Request = http::request<http::string_body>;

    /// Told when work on a request begins.
    virtual auto began(const Request& request) -> void { static_cast<void>(request); }

    /// Data of a turn's events.
    virtual auto events(const Request& request) const -> std::vector<std::string>
    {
        static_cast<void>(request);
        return {"one", "two"};
    }

    /// Before each event, and before a plain answer.
    virtual auto pause() const -> std::chrono::milliseconds { return std::chrono::milliseconds(0); }

    /// A plain answer.
    virtual auto body(const Request& request) const -> std::string
    {
        static_cast<void>(request);
        return "answer";
    }
};

/// A backend server by the platform's published protocol: streams events to POST below /turns/ and /drafts/, after the event that
/// the request names as its last one, and answers the rest whole.
class EngineStandIn
{
public:
    /// Without a script: two events, and "answer" to plain requests.
    explicit EngineStandIn(asio::io_context& context, IEngineScript* script = nullptr);

    auto address() const -> std::string;
    auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    auto setFault(EngineFault fault) -> void { m_fault = fault; }

    auto setFraming(EngineFraming framing) -> void { m_framing = framing; }

    /// From now on every answer says that the server leaves, and closes its connection.
    auto setLeaving(bool isLeaving) -> void { m_isLeaving = isLeaving; }

    /// From now on every answer states this limit, in requests per second; empty for none.
    auto setLimit(std::string perSecond) -> void { m_limit = std::move(perSecond); }

    /// From now on every answer states this load, and that it comes from `instance`.
    auto setLoad(const std::string& instance, const std::string& load) -> void
    {
        m_load = "Instance-Id: " + instance + "\r\nServer-Load: " + load + "\r\n";
    }

    /// Whether the answers to other requests of EngineFault::Stray say that the server leaves.
    auto setStrayLeaving(bool isLeaving) -> void { m_isStrayLeaving = isLeaving; }

    /// The header that EngineFault::RawHead sends, with its empty line. ID stands for the id of the request.
    auto setHead(std::string head) -> void { m_head = std::move(head); }

    /// Bytes of the header that EngineFault::BreakInHead sends.
    auto setHeadBytes(std::size_t bytes) -> void { m_headBytes = bytes; }

    /// Connections that rest for longer are forgotten: the next request on one meets a reset.
    auto setForgetsAfter(std::chrono::milliseconds rest) -> void { m_forgetsAfter = rest; }

    /// Requests that it began to work on, with bodies.
    auto requests() const -> const std::vector<http::request<http::string_body>>& { return m_requests; }

    /// Pause between the blocks of an answer without end.
    auto setEndlessPause(std::chrono::milliseconds pause) -> void { m_endlessPause = pause; }

    /// Bytes that its answers without end have handed to their connections.
    auto endlessBytes() const -> std::size_t { return m_endlessBytes; }

    /// Connections that were closed while it worked on a request.
    auto leftEarly() const -> int { return m_leftEarly; }

private:
    auto accept() -> asio::awaitable<void>;
    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>;
    auto respond(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>;
    /// Returns false, and does nothing, unless an answer without end is due.
    auto answerWithoutEnd(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>;
    auto answerPlain(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>;
    auto sendLateAnswer(asio::ip::tcp::socket& socket) -> asio::awaitable<void>;
    auto breakOff(asio::ip::tcp::socket& socket, const std::string& event) -> asio::awaitable<void>;
    auto frame(const std::string& data) const -> std::string;
    auto answer(const std::string& id, unsigned status, const std::string& headers, const std::string& body) const -> std::string;
    /// What the server says of itself in each answer.
    auto ownHeaders() const -> std::string;
    auto stream(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>;
    auto writeWithoutEnd(asio::ip::tcp::socket& socket, std::string start, std::string repeated) -> asio::awaitable<void>;
    auto waitUntilClosed(asio::ip::tcp::socket& socket) -> asio::awaitable<void>;
    auto pause() -> asio::awaitable<void>;
    auto write(asio::ip::tcp::socket& socket, std::string text) -> asio::awaitable<bool>;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    IEngineScript m_plainScript;
    IEngineScript& m_script;
    EngineFault m_fault = EngineFault::None;
    EngineFraming m_framing = EngineFraming::Explicit;
    bool m_isLeaving = false;
    bool m_isStrayLeaving = false;
    std::string m_limit;
    std::string m_load;
    std::map<asio::ip::tcp::socket*, std::string> m_lastAnswers; ///< of open connections; of a stream its header
    std::chrono::milliseconds m_forgetsAfter = std::chrono::hours(1);
    std::vector<http::request<http::string_body>> m_requests;
    std::size_t m_endlessBytes = 0;
    std::chrono::milliseconds m_endlessPause{0};
    std::string m_head;
    std::size_t m_headBytes = 0;
    int m_leftEarly = 0;
};

} // namespace laburnummill::testing
