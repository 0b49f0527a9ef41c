#pragma once

#include "framework/http/ihttphandler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <functional>
#include <memory>
#include <set>

namespace laburnummill::framework {

/// What the connections of one server share.
struct HttpConnectionShared
{
    HttpConnectionShared(IHttpHandler& usedHandler, HttpServerLimits usedLimits)
        : handler(usedHandler)
        , limits(usedLimits)
    {}

    auto closeIdle() -> void;
    auto closeAll() -> void;

    IHttpHandler& handler;
    HttpServerLimits limits;
    std::size_t connections = 0;
    std::size_t running = 0;
    bool stopping = false;
    std::set<boost::beast::tcp_stream*> idle;
    std::set<boost::beast::tcp_stream*> busy;
};

/// One caller's connection: reads requests one after another and lets the handler answer each.
template<class Stream>
class HttpConnection final : public IHttpResponder
{
public:
    HttpConnection(Stream stream, HttpConnectionShared& shared);
    ~HttpConnection() override;

    HttpConnection(const HttpConnection&) = delete;
    auto operator=(const HttpConnection&) -> HttpConnection& = delete;

    /// Does the TLS handshake; false where it fails.
    auto handshake() -> Async<bool>;

    auto run() -> Async<void>;

    auto respond(HttpResponse response) -> AsyncResult<void> override;
    auto beginStream(unsigned status, Headers headers) -> AsyncResult<void> override;
    auto writeChunk(std::string chunk) -> AsyncResult<void> override;
    auto endStream() -> AsyncResult<void> override;
    auto hasStarted() const -> bool override { return m_begun; }
    auto onDisconnect(std::function<void()> handler) -> void override { m_hangUpHandler = std::move(handler); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto lowest() -> boost::beast::tcp_stream& { return boost::beast::get_lowest_layer(m_stream); }
    auto readRequest(Parser& parser) -> AsyncResult<void>;
    auto serveOne(const Parser::value_type& message) -> Async<void>;
    auto reject(std::error_code error) -> Async<void>;
    auto startWatching() -> void;
    auto writeResult(boost::system::error_code error) -> Result<void>;
    auto close() -> Async<void>;

    //! NOTE The watcher outlives the request when the socket's wait is still pending, so both share this.
    struct Watch
    {
        bool active = true;
    };

    Stream m_stream;
    HttpConnectionShared& m_shared;
    boost::beast::flat_buffer m_buffer;
    std::function<void()> m_hangUpHandler;
    std::shared_ptr<Watch> m_watch;
    bool m_keepAlive = true;
    bool m_begun = false;
    bool m_finished = false;
};

} // namespace laburnummill::framework
