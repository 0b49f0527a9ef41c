#include "serving/statusserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using framework::Async;

/// Clients poll the status and reuse the connection; it is closed after this idle time.
constexpr auto s_idleTimeout = std::chrono::seconds(5);

} // namespace

StatusServer::StatusServer(asio::any_io_executor executor, const asio::ip::tcp::endpoint& address, Handler handler)
    : m_executor(executor)
    , m_acceptor(executor, address)
    , m_handler(std::move(handler))
{}

auto StatusServer::start() -> void
{
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
}

auto StatusServer::stop() -> void
{
    auto ignored = boost::system::error_code();
    m_acceptor.close(ignored);
}

auto StatusServer::acceptLoop() -> Async<void>
{
    while (m_acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_executor, serve(std::move(socket)), asio::detached);
        }
    }
}

auto StatusServer::serve(asio::ip::tcp::socket socket) -> Async<void>
{
    auto buffer = boost::beast::flat_buffer();
    auto timer = asio::steady_timer(m_executor);
    while (true) {
        timer.expires_after(s_idleTimeout);
        timer.async_wait([&socket](const boost::system::error_code& error) {
            if (!error) {
                auto ignored = boost::system::error_code();
                socket.close(ignored);
            }
        });
        auto request = http::request<http::empty_body>();
        auto error = boost::system::error_code();
        co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        timer.cancel();
        if (error) {
            co_return;
        }
        const auto target = std::string_view(request.target().data(), request.target().size());
        const auto answer = m_handler(target.substr(0, target.find('?')));
        auto response = http::response<http::string_body>(static_cast<http::status>(answer.status), 11);
        response.set(http::field::content_type, answer.contentType);
        response.body() = answer.body;
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !request.keep_alive()) {
            co_return;
        }
    }
}

} // namespace laburnummill::serving
