#pragma once

#include "framework/global/async.h"
#include "framework/http/httptypes.h"
#include "framework/http/ihttphandler.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <filesystem>
#include <memory>
#include <string>

namespace laburnummill::framework {

/// Certificate chain and private key of a server, as PEM files.
struct TlsFiles
{
    std::filesystem::path certificate;
    std::filesystem::path privateKey;
};

/// An HTTP/1.1 server with keep-alive, bounded messages and timeouts for slow callers.
class HttpServer
{
public:
    HttpServer(asio::any_io_executor executor, IHttpHandler& handler, HttpServerLimits limits);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    /// Uses TLS from now on. Called again, it replaces the certificate for new connections.
    auto useTls(const TlsFiles& files) -> Result<void>;

    /// Listens on `endpoint`; port 0 takes any free port.
    auto listen(const Endpoint& endpoint) -> Result<void>;

    /// The port listened on.
    auto port() const -> std::uint16_t;

    /// Takes no new connections, closes idle ones and waits for running requests, at most `patience`.
    auto stop(Milliseconds patience) -> Async<void>;

    auto openConnections() const -> std::size_t;
    auto runningRequests() const -> std::size_t;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace laburnummill::framework
