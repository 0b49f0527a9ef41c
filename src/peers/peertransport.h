#pragma once

#include "framework/global/async.h"
#include "peers/ipeerhandler.h"
#include "peers/peerlink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>

namespace laburnummill::peers {

/// Communication with other hosts: heartbeats as UDP datagrams, calls over persistent TCP connections.
class PeerTransport
{
public:
    /// Listens on `address` (IP and port, for TCP and UDP). Throws boost::system::system_error on failure.
    PeerTransport(framework::asio::any_io_executor executor, const framework::asio::ip::tcp::endpoint& address, IPeerHandler& handler);

    auto start() -> void;
    auto stop() -> void;

    /// Sends a heartbeat without retry on loss.
    auto sendHeartbeat(std::string_view address, const std::string& datagram) -> void;

    auto call(std::string address, messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<messages::Response>;

    /// Connections that this host relays for others.
    auto relays() const -> int { return m_relays; }

    /// Bytes sent to other hosts since the start.
    auto sentBytes() const -> std::uint64_t { return m_sentBytes; }

private:
    auto receiveLoop() -> framework::Async<void>;
    auto acceptLoop() -> framework::Async<void>;
    auto serve(framework::asio::ip::tcp::socket socket) -> framework::Async<void>;
    auto serveRelay(SocketPtr socket, messages::RelayQuery query) -> framework::Async<void>;

    static constexpr auto s_maxDatagramSize = std::size_t{65'536};
    static constexpr auto s_maxRelays = 250; ///< connections relayed for other hosts at a time, two sockets and some 10 KB each

    framework::asio::any_io_executor m_executor;
    IPeerHandler& m_handler;
    framework::asio::ip::udp::socket m_datagrams;
    framework::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<PeerLink>, std::less<>> m_links;
    std::uint64_t m_sentBytes = 0;
    int m_relays = 0;
};

/// Parses IP:PORT. Returns nullopt if `address` is not in this form.
auto parseEndpoint(std::string_view address) -> std::optional<framework::asio::ip::tcp::endpoint>;

} // namespace laburnummill::peers
