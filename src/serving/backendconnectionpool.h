#pragma once

#include "backends/backendbook.h"
#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "framework/global/iclock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <memory>

namespace laburnummill::serving {

/// A connection to one start of a backend server; carries one request at a time.
struct BackendConnection
{
    explicit BackendConnection(const framework::asio::any_io_executor& executor)
        : socket(executor)
    {}

    framework::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    framework::Milliseconds idleTimeout{0}; ///< as the server states it
    framework::Instant idleSince{};
    int requests = 0;                    ///< sent on it so far
    framework::Milliseconds idleTime{0}; ///< before the request that is on it now
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Connections to backend servers, kept between requests.
class BackendConnectionPool
{
public:
    BackendConnectionPool(framework::asio::any_io_executor executor, const framework::IClock& clock);

    /// A kept connection that shows no sign of its end, or a new one; null where none could be made or `cancellation` came.
    auto acquire(const backends::BackendPtr& backend, framework::CancellationPtr cancellation) -> framework::Async<BackendConnectionPtr>;

    /// Keeps a connection whose answer was read whole.
    auto release(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void;

    /// A request on a kept connection met a reset and no answer. Where the server takes new connections it had forgotten this
    /// one, sooner than it states: for a while none is used that rested nearly as long.
    auto reportReset(const backends::BackendPtr& backend, const BackendConnection& connection) -> void;

    /// Closes connections that were idle for long, and those to servers that are gone.
    auto removeExpired() -> void;

    auto createdCount() const -> std::uint64_t { return m_createdCount; }

private:
    auto connect(const backends::BackendPtr& backend, framework::CancellationPtr cancellation) -> framework::Async<BackendConnectionPtr>;
    auto isReusable(BackendConnection& connection) const -> bool;
    auto maxIdleTime(const BackendConnection& connection) const -> framework::Milliseconds;
    auto reduceIdleLimit(const backends::Backend& backend, framework::Milliseconds idleTime) -> void;

    struct ServerPool
    {
        std::weak_ptr<backends::Backend> backend;
        std::deque<BackendConnectionPtr> connections;   ///< used last at the back
        framework::Milliseconds idleTimeBeforeReset{0}; ///< of a connection that was reset, until the server is reached again
    };

    framework::asio::any_io_executor m_executor;
    const framework::IClock& m_clock;
    std::map<backends::Backend*, ServerPool> m_pools;
    framework::Milliseconds m_idleLimit{0};
    framework::Instant m_idleLimitUntil{};
    std::uint64_t m_createdCount = 0;
};

} // namespace laburnummill::serving
