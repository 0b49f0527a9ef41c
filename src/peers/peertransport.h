#pragma once

#include "framework/global/workcount.h"
#include "framework/net/listener.h"
#include "peers/ipeerhandler.h"
#include "peers/peerlink.h"
#include "peers/peersockets.h"

#include <array>
#include <map>
#include <memory>
#include <string>

namespace laburnummill::peers {

/// Communication with other hosts: heartbeats as UDP datagrams, calls over persistent TCP connections.
class PeerTransport
{
public:
    /// `memory`: account of what is buffered for other hosts; `maxConnections`: of other hosts.
    PeerTransport(framework::asio::any_io_executor executor, PeerSockets sockets, scheduling::BufferMemory& memory,
                  std::size_t maxConnections, IPeerHandler& handler);

    auto start() -> void;
    auto stop() -> void;

    /// Sends a heartbeat without retry on loss.
    auto sendHeartbeat(std::string_view address, const std::string& datagram) -> void;

    auto call(std::string address, messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<messages::Response>;

    /// Connections that this host relays for others.
    auto relays() const -> int { return m_relays.count(); }

    /// Bytes sent to other hosts since the start.
    auto sentBytes() const -> std::uint64_t { return m_sentBytes; }

private:
    auto receiveLoop() -> framework::Async<void>;
    auto serve(framework::asio::ip::tcp::socket socket) -> framework::Async<void>;
    auto serveRelay(SocketPtr socket, messages::RelayQuery query) -> framework::Async<void>;

    static constexpr auto s_maxDatagramSize = std::size_t{65'536};
    static constexpr auto s_maxRelays = 250; ///< connections relayed for other hosts at a time, two sockets and some 10 KB each

    framework::asio::any_io_executor m_executor;
    scheduling::BufferMemory& m_memory;
    std::size_t m_maxConnections;
    IPeerHandler& m_handler;
    framework::asio::ip::udp::socket m_datagrams;
    framework::Listener m_listener;
    std::map<std::string, std::shared_ptr<PeerLink>, std::less<>> m_links;
    std::uint64_t m_sentBytes = 0;
    framework::WorkCount m_relays;
    framework::WorkCount m_connections; ///< accepted ones that are open
};

} // namespace laburnummill::peers
