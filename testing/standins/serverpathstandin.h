#pragma once

#include "serving/serverconnector.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace laburnummill::testing {

/// What a network path to the servers does.
enum class ServerPathFault
{
    None,
    Silent,    ///< connections deliver nothing, new ones time out
    Reset,     ///< connections are reset, new ones time out
    RefuseNew, ///< connections live on, new ones are refused
};

/// A host's network path to all backend servers: each connection leads through it.
class ServerPathStandIn final : public serving::IServerDialer
{
public:
    explicit ServerPathStandIn(boost::asio::io_context& context)
        : m_context(context)
    {}

    auto setFault(ServerPathFault fault) -> void;

    auto dial(boost::asio::ip::tcp::endpoint server, framework::CancellationPtr cancellation)
        -> framework::Async<peers::SocketPtr> override;

    /// Connections that were opened.
    auto opened() const -> int { return m_opened; }

private:
    auto pump(peers::SocketPtr from, peers::SocketPtr to) -> framework::Async<void>;
    auto pause(framework::Milliseconds time) -> framework::Async<void>;

    boost::asio::io_context& m_context;
    ServerPathFault m_fault = ServerPathFault::None;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    int m_opened = 0;
};

} // namespace laburnummill::testing
