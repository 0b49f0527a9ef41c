#include "framework/http/httpserver.h"

#include "framework/http/internal/httpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

namespace laburnummill::framework {

namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

struct HttpServer::State : public std::enable_shared_from_this<HttpServer::State>
{
    State(asio::any_io_executor usedExecutor, IHttpHandler& usedHandler, HttpServerLimits usedLimits)
        : executor(std::move(usedExecutor))
        , acceptor(executor)
        , shared(usedHandler, usedLimits)
    {}

    auto acceptLoop() -> Async<void>;
    auto serve(Tcp::socket socket) -> Async<void>;

    asio::any_io_executor executor;
    Tcp::acceptor acceptor;
    HttpConnectionShared shared;
    std::shared_ptr<asio::ssl::context> tls;
};

auto HttpServer::State::acceptLoop() -> Async<void>
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (error) {
            // NOTE Out of file descriptors: wait for some to be closed rather than spin.
            auto pause = asio::steady_timer(executor, Milliseconds(20));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (shared.connections >= shared.limits.connections) {
            continue;
        }
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

auto HttpServer::State::serve(Tcp::socket socket) -> Async<void>
{
    const auto self = shared_from_this();
    auto ignored = boost::system::error_code();
    socket.set_option(Tcp::no_delay(true), ignored);
    if (!tls) {
        auto connection = HttpConnection<beast::tcp_stream>(beast::tcp_stream(std::move(socket)), shared);
        co_await connection.run();
        co_return;
    }
    const auto context = tls;
    auto connection = HttpConnection<beast::ssl_stream<beast::tcp_stream>>({beast::tcp_stream(std::move(socket)), *context}, shared);
    if (co_await connection.handshake()) {
        co_await connection.run();
    }
}

HttpServer::HttpServer(asio::any_io_executor executor, IHttpHandler& handler, HttpServerLimits limits)
    : m_state(std::make_shared<State>(std::move(executor), handler, limits))
{}

HttpServer::~HttpServer()
{
    auto ignored = boost::system::error_code();
    m_state->acceptor.close(ignored);
}

auto HttpServer::useTls(const TlsFiles& files) -> Result<void>
{
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    auto error = boost::system::error_code();
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(files.certificate.string(), error);
    if (error) {
        return HttpError::BadCertificate;
    }
    context->use_private_key_file(files.privateKey.string(), asio::ssl::context::pem, error);
    if (error) {
        return HttpError::BadCertificate;
    }
    m_state->tls = std::move(context);
    return success();
}

auto HttpServer::listen(const Endpoint& endpoint) -> Result<void>
{
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error) {
        return HttpError::BindFailed;
    }
    auto& acceptor = m_state->acceptor;
    acceptor.open(Tcp::v4(), error);
    acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor.bind({address, endpoint.port}, error);
    if (error) {
        return HttpError::BindFailed;
    }
    acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return HttpError::BindFailed;
    }
    asio::co_spawn(m_state->executor, m_state->acceptLoop(), asio::detached);
    return success();
}

auto HttpServer::port() const -> std::uint16_t
{
    auto error = boost::system::error_code();
    return m_state->acceptor.local_endpoint(error).port();
}

auto HttpServer::stop(Milliseconds patience) -> Async<void>
{
    const auto state = m_state;
    auto ignored = boost::system::error_code();
    state->acceptor.close(ignored);
    state->shared.closeIdle();

    constexpr auto step = Milliseconds(5);
    auto timer = asio::steady_timer(state->executor);
    for (auto waited = Milliseconds(0); state->shared.running > 0 && waited < patience; waited += step) {
        timer.expires_after(step);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    state->shared.closeAll();
}

auto HttpServer::openConnections() const -> std::size_t
{
    return m_state->shared.connections;
}

auto HttpServer::runningRequests() const -> std::size_t
{
    return m_state->shared.running;
}

} // namespace laburnummill::framework
