#include "serving/backendconnectionpool.h"

#include "framework/global/digest.h"
#include "framework/logging/log.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace laburnummill::serving {

namespace {

using framework::Async;
using framework::CancellationPtr;
using framework::Milliseconds;

/// Used if a server states no timeout; shorter than the usual defaults of servers.
constexpr auto s_defaultIdleTimeout = Milliseconds(4'000);

/// Share of the stated timeout during which a connection is reused; the rest allows for network latency.
constexpr auto s_usableIdleShare = 0.8;

/// New idle limit as a share of the idle time of a connection that was reset; the server's real limit is lower than that time.
constexpr auto s_resetIdleShare = 0.5;
constexpr auto s_minIdleLimit = Milliseconds(100);

/// Servers drop idle connections early for some seconds at a time.
constexpr auto s_idleLimitLifetime = Milliseconds(20'000);

/// If sent data is not acknowledged within this time, the network path is considered broken.
constexpr auto s_tcpUserTimeoutMilliseconds = 1'500;

/// A late response follows those to at most a few further requests.
constexpr auto s_rememberedRequests = std::size_t{16};

auto recordRequestId(BackendConnection& connection, std::uint64_t idHash) -> void
{
    if (connection.use == ConnectionUse::Probes) {
        return; // They have none.
    }
    connection.requestIds.push_back(idHash);
    if (connection.requestIds.size() > s_rememberedRequests) {
        connection.requestIds.pop_front();
    }
}

/// Whether the connection is open and has no unread data. Unrequested data cannot belong to the next request.
auto isIdle(int descriptor) -> bool
{
    auto byte = char{0};
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

BackendConnectionPool::BackendConnectionPool(ServerConnector& connector, const framework::IClock& clock)
    : m_connector(connector)
    , m_clock(clock)
{}

auto BackendConnectionPool::acquire(const backends::BackendPtr& backend, ConnectionUse use, std::string requestId,
                                    CancellationPtr cancellation) -> Async<BackendConnectionPtr>
{
    auto& pool = m_pools[backend.get()];
    if (pool.backend.lock() != backend) {
        pool = ServerPool{.backend = backend, .connections = {}, .probeConnections = {}, .idleTimeBeforeReset = {}};
    }
    const auto idHash = framework::hash64(requestId);
    auto& idle = use == ConnectionUse::Probes ? pool.probeConnections : pool.connections;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        backend->idleConnections = static_cast<int>(pool.connections.size());
        if (isReusable(*connection) && std::ranges::find(connection->requestIds, idHash) == connection->requestIds.end()) {
            recordRequestId(*connection, idHash);
            connection->idleTime = std::chrono::duration_cast<Milliseconds>(m_clock.now() - connection->idleSince);
            co_return connection;
        }
    }
    auto connection = co_await connect(backend, std::move(cancellation));
    if (connection) {
        connection->use = use;
        recordRequestId(*connection, idHash);
    }
    co_return connection;
}

auto BackendConnectionPool::release(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void
{
    const auto pool = m_pools.find(backend.get());
    if (pool == m_pools.end() || backend->isRemoved || connection->buffer.size() > 0) {
        return;
    }
    connection->idleSince = m_clock.now();
    auto& idle = connection->use == ConnectionUse::Probes ? pool->second.probeConnections : pool->second.connections;
    idle.push_back(std::move(connection));
    backend->idleConnections = static_cast<int>(pool->second.connections.size());
}

auto BackendConnectionPool::removeExpired() -> void
{
    for (auto entry = m_pools.begin(); entry != m_pools.end();) {
        const auto backend = entry->second.backend.lock();
        if (!backend || backend->isRemoved) {
            entry = m_pools.erase(entry);
            continue;
        }
        const auto isExpired = [this](const auto& connection) { return !isReusable(*connection); };
        std::erase_if(entry->second.connections, isExpired);
        std::erase_if(entry->second.probeConnections, isExpired);
        backend->idleConnections = static_cast<int>(entry->second.connections.size());
        ++entry;
    }
}

auto BackendConnectionPool::reportReset(const backends::BackendPtr& backend, const BackendConnection& connection) -> void
{
    const auto pool = m_pools.find(backend.get());
    if (pool != m_pools.end() && connection.idleTime > s_minIdleLimit) {
        pool->second.idleTimeBeforeReset = connection.idleTime;
    }
}

auto BackendConnectionPool::reduceIdleLimit(const backends::Backend& backend, Milliseconds idleTime) -> void
{
    const auto limit = std::max(s_minIdleLimit, Milliseconds(static_cast<std::int64_t>(idleTime.count() * s_resetIdleShare)));
    const auto now = m_clock.now();
    m_idleLimit = now < m_idleLimitUntil ? std::min(m_idleLimit, limit) : limit;
    m_idleLimitUntil = now + s_idleLimitLifetime;
    framework::logEvent(framework::LogLevel::Info, "serving", "connections_forgotten",
                        {{"server", backend.entry.id}, {"restedMs", idleTime.count()}, {"limitMs", m_idleLimit.count()}});
}

auto BackendConnectionPool::connect(const backends::BackendPtr& backend, CancellationPtr cancellation) -> Async<BackendConnectionPtr>
{
    ++m_createdCount;
    auto connected = co_await m_connector.connect(backend, std::move(cancellation));
    if (!connected.socket || !connected.socket->is_open()) {
        co_return nullptr;
    }
    const auto connection = std::make_shared<BackendConnection>(peers::ServerStream(std::move(*connected.socket), connected.end));
    connection->relay = std::move(connected.relay);
    const auto pool = m_pools.find(backend.get());
    if (pool != m_pools.end() && pool->second.idleTimeBeforeReset.count() > 0) {
        reduceIdleLimit(*backend, std::exchange(pool->second.idleTimeBeforeReset, {}));
    }
    ::setsockopt(connection->stream.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &s_tcpUserTimeoutMilliseconds,
                 sizeof(s_tcpUserTimeoutMilliseconds));
    co_return connection;
}

auto BackendConnectionPool::maxIdleTime(const BackendConnection& connection) const -> Milliseconds
{
    const auto stated = connection.idleTimeout.count() > 0 ? connection.idleTimeout : s_defaultIdleTimeout;
    const auto usable = Milliseconds(static_cast<std::int64_t>(static_cast<double>(stated.count()) * s_usableIdleShare));
    return m_clock.now() < m_idleLimitUntil ? std::min(usable, m_idleLimit) : usable;
}

auto BackendConnectionPool::reportAnswer(const BackendConnection& connection) -> void
{
    if (connection.relay.empty()) {
        m_connector.reportAnswer();
    }
}

auto BackendConnectionPool::reportSilence(const backends::Backend& backend, const BackendConnection& connection) -> void
{
    if (connection.relay.empty()) {
        m_connector.reportSilence(backend);
    }
}

auto BackendConnectionPool::isReusable(BackendConnection& connection) const -> bool
{
    const auto isUsable = connection.relay.empty() ? m_connector.areIdleConnectionsUsable() : m_connector.isRelayUsable(connection.relay);
    return isUsable && m_clock.now() < connection.idleSince + maxIdleTime(connection) && !connection.stream.hasUnread() &&
           isIdle(connection.stream.descriptor());
}

} // namespace laburnummill::serving
