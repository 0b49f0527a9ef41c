#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <vector>

namespace laburnummill::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// What a backend server does with the next requests.
enum class EngineFault
{
    None,
    NotRun,      ///< 503 that says so
    Misdirected, ///< 421
    Garbage,     ///< bytes that are no answer
    Stray,       ///< another request's answer stands before the right one
    BreakOff,    ///< the stream ends in its middle
    Unsigned,    ///< a success without a signature
    Hang,        ///< no answer
};

/// A backend server by the platform's published protocol: streams events to POST below /turns/, answers the rest whole.
class EngineStandIn
{
public:
    explicit EngineStandIn(asio::io_context& context);

    auto address() const -> std::string;
    auto setFault(EngineFault fault) -> void { m_fault = fault; }

    /// Requests that it began to work on, with bodies.
    auto requests() const -> const std::vector<http::request<http::string_body>>& { return m_requests; }

    /// Connections that were closed while it worked on a request.
    auto leftEarly() const -> int { return m_leftEarly; }

private:
    auto accept() -> asio::awaitable<void>;
    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>;
    auto respond(asio::ip::tcp::socket& socket, const http::request<http::string_body>& request) -> asio::awaitable<bool>;
    auto stream(asio::ip::tcp::socket& socket, const std::string& id) -> asio::awaitable<bool>;
    auto write(asio::ip::tcp::socket& socket, std::string text) -> asio::awaitable<bool>;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    EngineFault m_fault = EngineFault::None;
    std::vector<http::request<http::string_body>> m_requests;
    int m_leftEarly = 0;
};

} // namespace laburnummill::testing
