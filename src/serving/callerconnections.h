#pragma once

#include "framework/net/listener.h"
#include "scheduling/connectionlimit.h"
#include "serving/callerconnection.h"

#include <list>

namespace laburnummill::serving {

/// Accepts callers' connections, as many as the host may have.
class CallerConnections
{
public:
    CallerConnections(framework::asio::any_io_executor executor, const framework::asio::ip::tcp::endpoint& address,
                      scheduling::ConnectionLimit limit, CallerContext& context);

    /// Listens, once the address is free, and accepts connections from then on. Returns the error that prevents it.
    auto open(std::optional<framework::Milliseconds> timeout) -> framework::Async<boost::system::error_code>;

    /// Whether it listens.
    auto isOpen() const -> bool { return m_listener.isOpen(); }

    /// Closes connections without a request. Returns whether all are closed.
    auto closeIdle() -> bool;

    /// Closes connections whose callers do not read, and forgets those that are closed.
    auto maintain() -> void;

    /// Number of connections that were closed unread since the start.
    auto rejected() const -> std::uint64_t { return m_rejected; }

    /// Number of open connections, and the most that there may be.
    auto count() const -> std::size_t { return static_cast<std::size_t>(m_context.connections.count()); }
    auto limit() const -> std::size_t { return m_limit.maxCallers(); }

private:
    auto add(framework::asio::ip::tcp::socket socket) -> void;
    /// Closes the connection that has been replaceable for the longest time. Returns false if none is.
    auto replaceOne() -> bool;

    framework::asio::any_io_executor m_executor;
    framework::Listener m_listener;
    scheduling::ConnectionLimit m_limit;
    CallerContext& m_context;
    std::list<std::weak_ptr<CallerConnection>> m_connections;
    std::uint64_t m_rejected = 0;
};

} // namespace laburnummill::serving
