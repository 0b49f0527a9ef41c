#include "standins/serverpathstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace laburnummill::testing {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;
using peers::SocketPtr;

constexpr auto s_connectTimeout = Milliseconds(250);
constexpr auto s_poll = Milliseconds(20);

auto resetSocket(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code();
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

auto ServerPathStandIn::setFault(ServerPathFault fault) -> void
{
    m_fault = fault;
    if (fault != ServerPathFault::Reset) {
        return;
    }
    for (const auto& weak : m_sockets) {
        if (const auto socket = weak.lock()) {
            resetSocket(*socket);
        }
    }
}

auto ServerPathStandIn::dial(asio::ip::tcp::endpoint server, framework::CancellationPtr cancellation) -> Async<SocketPtr>
{
    if (m_fault == ServerPathFault::Silent || m_fault == ServerPathFault::Reset) {
        co_await pause(s_connectTimeout);
    }
    if (m_fault != ServerPathFault::None) {
        co_return nullptr;
    }
    const auto toServer = co_await peers::connectWithin(m_context.get_executor(), server, s_connectTimeout, cancellation);
    if (!toServer) {
        co_return nullptr;
    }
    auto acceptor = asio::ip::tcp::acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto toHost = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto ofHost = co_await peers::connectWithin(m_context.get_executor(), acceptor.local_endpoint(), s_connectTimeout, cancellation);
    auto error = boost::system::error_code();
    co_await acceptor.async_accept(*toHost, asio::redirect_error(asio::use_awaitable, error));
    m_sockets.push_back(toServer);
    m_sockets.push_back(toHost);
    ++m_opened;
    asio::co_spawn(m_context, pump(toHost, toServer), asio::detached);
    asio::co_spawn(m_context, pump(toServer, toHost), asio::detached);
    co_return ofHost;
}

auto ServerPathStandIn::pump(SocketPtr from, SocketPtr to) -> Async<void>
{
    auto bytes = std::array<char, 4'096>();
    auto error = boost::system::error_code();
    while (!error) {
        const auto size = co_await from->async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        while (m_fault == ServerPathFault::Silent) {
            co_await pause(s_poll);
        }
        if (!error) {
            co_await asio::async_write(*to, asio::buffer(bytes, size), asio::redirect_error(asio::use_awaitable, error));
        }
    }
    if (error == asio::error::eof) {
        auto ignored = boost::system::error_code();
        to->close(ignored);
        from->close(ignored);
    } else {
        resetSocket(*to);
        resetSocket(*from);
    }
}

auto ServerPathStandIn::pause(Milliseconds time) -> Async<void>
{
    auto timer = asio::steady_timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace laburnummill::testing
