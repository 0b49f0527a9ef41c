#include "serving/backendconnections.h"

#include "peers/peerport.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::CancellationPtr;
using framework::Milliseconds;

/// Data centres are a millisecond apart and an accept takes one; a server that needs longer is out of reach.
constexpr auto s_connectTimeout = Milliseconds(250);

/// Where a server states no timeout: shorter than what servers commonly use.
constexpr auto s_unstatedIdleTimeout = Milliseconds(4'000);

/// Part of a stated timeout after which a connection is not used again; the rest covers the way there.
constexpr auto s_usableShare = 0.8;

/// Data that was sent and not acknowledged for so long means that the path is gone.
constexpr auto s_unacknowledgedMilliseconds = 1'500;

/// Nothing to read and not closed: an answer that came unasked would belong to no request.
auto isQuiet(int descriptor) -> bool
{
    auto byte = char{0};
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

BackendConnections::BackendConnections(asio::any_io_executor executor, const framework::IClock& clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{}

auto BackendConnections::take(const backends::BackendPtr& backend, CancellationPtr cancellation) -> Async<BackendConnectionPtr>
{
    auto& kept = m_kept[backend.get()];
    if (kept.backend.lock() != backend) {
        kept = Kept{.backend = backend, .connections = {}};
    }
    while (!kept.connections.empty()) {
        auto connection = std::move(kept.connections.back());
        kept.connections.pop_back();
        if (isStillGood(*connection)) {
            co_return connection;
        }
    }
    co_return co_await connect(backend->entry.address, std::move(cancellation));
}

auto BackendConnections::giveBack(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void
{
    const auto kept = m_kept.find(backend.get());
    if (kept == m_kept.end() || backend->isGone || connection->buffer.size() > 0) {
        return;
    }
    connection->idleSince = m_clock.now();
    kept->second.connections.push_back(std::move(connection));
}

auto BackendConnections::sweep() -> void
{
    for (auto entry = m_kept.begin(); entry != m_kept.end();) {
        const auto backend = entry->second.backend.lock();
        if (!backend || backend->isGone) {
            entry = m_kept.erase(entry);
            continue;
        }
        std::erase_if(entry->second.connections, [this](const auto& connection) { return !isStillGood(*connection); });
        ++entry;
    }
}

auto BackendConnections::connect(const std::string& address, CancellationPtr cancellation) -> Async<BackendConnectionPtr>
{
    const auto endpoint = peers::endpointOf(address);
    if (!endpoint) {
        co_return nullptr;
    }
    const auto connection = std::make_shared<BackendConnection>(m_executor);
    const auto weak = std::weak_ptr(connection);
    cancellation->onCancel([weak] {
        if (const auto found = weak.lock()) {
            auto ignored = boost::system::error_code();
            found->socket.close(ignored);
        }
    });
    auto timer = asio::steady_timer(m_executor, s_connectTimeout);
    timer.async_wait([weak](const boost::system::error_code& error) {
        const auto found = weak.lock();
        if (!error && found) {
            auto ignored = boost::system::error_code();
            found->socket.close(ignored);
        }
    });
    ++m_made;
    auto error = boost::system::error_code();
    co_await connection->socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    if (error || !connection->socket.is_open()) {
        co_return nullptr;
    }
    connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
    ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &s_unacknowledgedMilliseconds,
                 sizeof(s_unacknowledgedMilliseconds));
    co_return connection;
}

auto BackendConnections::isStillGood(BackendConnection& connection) const -> bool
{
    const auto stated = connection.idleTimeout.count() > 0 ? connection.idleTimeout : s_unstatedIdleTimeout;
    const auto usable = Milliseconds(static_cast<std::int64_t>(static_cast<double>(stated.count()) * s_usableShare));
    return m_clock.now() < connection.idleSince + usable && isQuiet(connection.socket.native_handle());
}

} // namespace laburnummill::serving
