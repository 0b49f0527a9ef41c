#pragma once

#include "backends/backendregistry.h"
#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "framework/global/iclock.h"
#include "serving/serverconnector.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <memory>

namespace laburnummill::serving {

/// What a connection to a backend server carries. A probe's response has no request id, so that it could not be told from a late
/// response to a request on the same connection.
enum class ConnectionUse
{
    Requests,
    Probes,
};

/// Exceeds any header of a backend server's response, and any line of its framing.
inline constexpr auto s_responseBufferLimit = std::size_t{96 * 1024};

/// A connection to one incarnation of a backend server. It carries one request at a time.
struct BackendConnection
{
    explicit BackendConnection(peers::ServerStream connected)
        : stream(std::move(connected))
    {}

    peers::ServerStream stream;
    boost::beast::flat_buffer buffer{s_responseBufferLimit};
    framework::Milliseconds idleTimeout{0}; ///< as stated by the server; 0 if it states none
    framework::Instant idleSince{};
    ConnectionUse use = ConnectionUse::Requests;
    std::string relay;                    ///< address of the host through which it leads; empty if it is direct
    int requests = 0;                     ///< number of requests sent on it
    std::deque<std::uint64_t> requestIds; ///< hashes of the last ones sent on it
    framework::Milliseconds idleTime{0};  ///< how long it was idle before the current request
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Pool of connections to backend servers that are reused between requests.
class BackendConnectionPool
{
public:
    BackendConnectionPool(ServerConnector& connector, const framework::IClock& clock);

    /// Returns a pooled connection that is still open, or a new one. Returns null if connecting fails or is cancelled.
    /// A connection that carried a request with the same id is not returned: late responses to that one look like its own.
    auto acquire(const backends::BackendPtr& backend, ConnectionUse use, std::string requestId, framework::CancellationPtr cancellation)
        -> framework::Async<BackendConnectionPtr>;

    /// Returns a connection to the pool; its response must have been read completely.
    auto release(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void;

    /// Reports that a request on a pooled connection ended in a reset without a response. If the server accepts a new connection
    /// afterwards, it had dropped the old one sooner than its stated idle timeout. For a while, no connection is reused that
    /// was idle for half that time or longer.
    auto reportReset(const backends::BackendPtr& backend, const BackendConnection& connection) -> void;

    /// Reports that the connection delivered the header of an answer, or nothing for an unusually long time.
    auto reportAnswer(const BackendConnection& connection) -> void;
    auto reportSilence(const backends::Backend& backend, const BackendConnection& connection) -> void;

    /// Closes connections that have exceeded their idle limit, and those to removed servers.
    auto removeExpired() -> void;

    /// Number of connection attempts since the start.
    auto createdCount() const -> std::uint64_t { return m_createdCount; }

private:
    auto connect(const backends::BackendPtr& backend, framework::CancellationPtr cancellation) -> framework::Async<BackendConnectionPtr>;
    auto isReusable(BackendConnection& connection) const -> bool;
    auto maxIdleTime(const BackendConnection& connection) const -> framework::Milliseconds;
    auto reduceIdleLimit(const backends::Backend& backend, framework::Milliseconds idleTime) -> void;

    struct ServerPool
    {
        std::weak_ptr<backends::Backend> backend;
        std::deque<BackendConnectionPtr> connections; ///< for requests; most recently used at the back
        std::deque<BackendConnectionPtr> probeConnections;
        framework::Milliseconds idleTimeBeforeReset{0}; ///< of the last reset connection; 0 once the server accepts a new one
    };

    ServerConnector& m_connector;
    const framework::IClock& m_clock;
    std::map<backends::Backend*, ServerPool> m_pools;
    framework::Milliseconds m_idleLimit{0};
    framework::Instant m_idleLimitUntil{};
    std::uint64_t m_createdCount = 0;
};

} // namespace laburnummill::serving
