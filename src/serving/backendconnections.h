#pragma once

#include "backends/backendregistry.h"
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
    int requests = 0;                  ///< sent on it so far
    framework::Milliseconds rested{0}; ///< before the request that is on it now
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Connections to backend servers, kept between requests.
class BackendConnections
{
public:
    BackendConnections(framework::asio::any_io_executor executor, const framework::IClock& clock);

    /// A kept connection that shows no sign of its end, or a new one; null where none could be made or `cancellation` came.
    auto take(const backends::BackendPtr& backend, framework::CancellationPtr cancellation) -> framework::Async<BackendConnectionPtr>;

    /// Keeps a connection whose answer was read whole.
    auto giveBack(const backends::BackendPtr& backend, BackendConnectionPtr connection) -> void;

    /// A request on a kept connection met a reset and no answer. Where the server takes new connections it had forgotten this
    /// one, sooner than it states: for a while none is used that rested nearly as long.
    auto wasReset(const backends::BackendPtr& backend, const BackendConnection& connection) -> void;

    /// Closes connections that were idle for long, and those to servers that are gone.
    auto sweep() -> void;

    auto made() const -> std::uint64_t { return m_made; }

private:
    auto connect(const backends::BackendPtr& backend, framework::CancellationPtr cancellation) -> framework::Async<BackendConnectionPtr>;
    auto isStillGood(BackendConnection& connection) const -> bool;
    auto usableRest(const BackendConnection& connection) const -> framework::Milliseconds;
    auto noteForgotten(const backends::Backend& backend, framework::Milliseconds rested) -> void;

    struct Kept
    {
        std::weak_ptr<backends::Backend> backend;
        std::deque<BackendConnectionPtr> connections; ///< used last at the back
        framework::Milliseconds restBeforeReset{0};   ///< of a connection that was reset, until the server is reached again
    };

    framework::asio::any_io_executor m_executor;
    const framework::IClock& m_clock;
    std::map<backends::Backend*, Kept> m_kept;
    framework::Milliseconds m_restLimit{0};
    framework::Instant m_restLimitUntil{};
    std::uint64_t m_made = 0;
};

} // namespace laburnummill::serving
