#include "peers/relay.h"

#include "framework/global/tasks.h"
#include "framework/global/timelimit.h"
#include "peers/peerlink.h"
#include "peers/relayframes.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::CancellationPtr;
using framework::Milliseconds;

/// Exceeds the answer to a request for a relay.
constexpr auto s_relayAnswerLimit = std::uint32_t{64 * 1024};

constexpr auto s_copyBytes = std::size_t{4 * 1024};

auto closeSocket(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code();
    socket.close(ignored);
}

auto closing(const SocketPtr& socket) -> std::function<void()>
{
    return [weak = std::weak_ptr(socket)] {
        if (const auto found = weak.lock()) {
            closeSocket(*found);
        }
    };
}

auto copy(SocketPtr from, SocketPtr to, bool isFramed) -> Async<void>
{
    auto bytes = std::array<char, s_copyBytes>();
    auto error = boost::system::error_code();
    auto hasEnded = false;
    while (!error) {
        const auto size = co_await from->async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        hasEnded = error == asio::error::eof;
        if (!error || (hasEnded && isFramed)) {
            const auto header = relayFrameHeader(size);
            const auto buffers = std::array{asio::buffer(header, isFramed ? header.size() : 0), asio::buffer(std::as_const(bytes), size)};
            auto writeError = boost::system::error_code();
            co_await asio::async_write(*to, buffers, asio::redirect_error(asio::use_awaitable, writeError));
            error = error ? error : writeError;
        }
    }
    if (!hasEnded) {
        // A connection that was reset must not look like one that ended.
        auto ignored = boost::system::error_code();
        to->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    closeSocket(*from);
    closeSocket(*to);
}

} // namespace

auto connectWithin(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, Milliseconds timeout, CancellationPtr cancellation)
    -> Async<SocketPtr>
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    cancellation->onCancel([weak = std::weak_ptr(socket)] {
        if (const auto found = weak.lock()) {
            closeSocket(*found);
        }
    });
    auto limit = framework::TimeLimit(executor, timeout, closing(socket));
    auto error = boost::system::error_code();
    co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    limit.end();
    if (error || !socket->is_open()) {
        co_return nullptr;
    }
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    co_return socket;
}

auto openRelay(asio::any_io_executor executor, asio::ip::tcp::endpoint peer, messages::RelayQuery query, Milliseconds timeout,
               CancellationPtr cancellation) -> Async<RelayedConnection>
{
    const auto socket = co_await connectWithin(executor, peer, timeout, std::move(cancellation));
    if (!socket) {
        co_return RelayedConnection();
    }
    auto limit = framework::TimeLimit(executor, timeout, closing(socket));
    auto request = messages::Request();
    query.set_reads_frames(true);
    *request.mutable_relay_query() = std::move(query);
    const auto frame = encodeFrame(request);
    auto error = boost::system::error_code();
    co_await asio::async_write(*socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
    const auto answer = error ? std::nullopt : co_await readFrame(*socket, s_relayAnswerLimit, nullptr);
    limit.end();
    auto response = messages::Response();
    if (!answer || !socket->is_open() || !response.ParseFromString(*answer) || !response.is_relayed()) {
        co_return RelayedConnection();
    }
    co_return RelayedConnection{.socket = socket, .isFramed = response.is_framed()};
}

auto relay(SocketPtr host, SocketPtr server, bool isFramed) -> Async<void>
{
    framework::spawnTask(host->get_executor(), "relay", copy(host, server, false));
    co_await copy(server, host, isFramed);
}

} // namespace laburnummill::peers
