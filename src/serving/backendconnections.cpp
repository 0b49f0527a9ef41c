#include "serving/backendconnections.h"

#include "framework/logging/log.h"
#include "peers/peertransport.h"

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

/// Part of the rest after which a server had forgotten a connection; the true limit lies below.
constexpr auto s_forgottenShare = 0.5;
constexpr auto s_shortestRestLimit = Milliseconds(100);

/// Servers do so for some seconds at a time.
constexpr auto s_forgottenMemory = Milliseconds(20'000);

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
        kept = Kept{.backend = backend, .connections = {}, .restBeforeReset = {}};
    }
    while (!kept.connections.empty()) {
        auto connection = std::move(kept.connections.back());
        kept.connections.pop_back();
        backend->restingConnections = static_cast<int>(kept.connections.size());
        if (isStillGood(*connection)) {
            connection->rested = std::chrono::duration_cast<Milliseconds>(m_clock.now() - connection->idleSince);
            co_return connection;
        }
    }
    co_return co_await connect(backend, std::move(cancellation));
}

auto BackendConnections::giveBack(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void
{
    const auto kept = m_kept.find(backend.get());
    if (kept == m_kept.end() || backend->isGone || connection->buffer.size() > 0) {
        return;
    }
    connection->idleSince = m_clock.now();
    kept->second.connections.push_back(std::move(connection));
    backend->restingConnections = static_cast<int>(kept->second.connections.size());
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
        backend->restingConnections = static_cast<int>(entry->second.connections.size());
        ++entry;
    }
}

auto BackendConnections::wasReset(const backends::BackendPtr& backend, const BackendConnection& connection) -> void
{
    const auto kept = m_kept.find(backend.get());
    if (kept != m_kept.end() && connection.rested > s_shortestRestLimit) {
        kept->second.restBeforeReset = connection.rested;
    }
}

auto BackendConnections::noteForgotten(const backends::Backend& backend, Milliseconds rested) -> void
{
    const auto limit = std::max(s_shortestRestLimit, Milliseconds(static_cast<std::int64_t>(rested.count() * s_forgottenShare)));
    const auto now = m_clock.now();
    m_restLimit = now < m_restLimitUntil ? std::min(m_restLimit, limit) : limit;
    m_restLimitUntil = now + s_forgottenMemory;
    framework::logEvent(framework::LogLevel::Info, "serving", "connections_forgotten",
                        {{"server", backend.entry.id}, {"restedMs", rested.count()}, {"limitMs", m_restLimit.count()}});
}

auto BackendConnections::connect(const backends::BackendPtr& backend, CancellationPtr cancellation) -> Async<BackendConnectionPtr>
{
    const auto endpoint = peers::parseEndpoint(backend->entry.address);
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
    const auto kept = m_kept.find(backend.get());
    if (kept != m_kept.end() && kept->second.restBeforeReset.count() > 0) {
        noteForgotten(*backend, std::exchange(kept->second.restBeforeReset, {}));
    }
    connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
    ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &s_unacknowledgedMilliseconds,
                 sizeof(s_unacknowledgedMilliseconds));
    co_return connection;
}

auto BackendConnections::usableRest(const BackendConnection& connection) const -> Milliseconds
{
    const auto stated = connection.idleTimeout.count() > 0 ? connection.idleTimeout : s_unstatedIdleTimeout;
    const auto usable = Milliseconds(static_cast<std::int64_t>(static_cast<double>(stated.count()) * s_usableShare));
    return m_clock.now() < m_restLimitUntil ? std::min(usable, m_restLimit) : usable;
}

auto BackendConnections::isStillGood(BackendConnection& connection) const -> bool
{
    return m_clock.now() < connection.idleSince + usableRest(connection) && isQuiet(connection.socket.native_handle());
}

} // namespace laburnummill::serving
