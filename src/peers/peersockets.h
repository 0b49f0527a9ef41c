#pragma once

#include "framework/global/async.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>
#include <vector>

namespace laburnummill::peers {

/// Sockets at which other hosts reach this one, on the same port.
struct PeerSockets
{
    framework::asio::ip::udp::socket datagrams;
    framework::asio::ip::tcp::acceptor acceptor; ///< listens
    std::string address;                         ///< IP:PORT
};

/// Parses IP:PORT. Returns nullopt if `address` is not in this form.
auto parseEndpoint(std::string_view address) -> std::optional<framework::asio::ip::tcp::endpoint>;

/// Binds the first of `addresses` (IP:PORT) whose port is free for datagrams and connections. Returns nullopt, and the last error in
/// `error`, if none is.
auto bindPeerSockets(const framework::asio::any_io_executor& executor, const std::vector<std::string>& addresses,
                     boost::system::error_code& error) -> std::optional<PeerSockets>;

/// The same; throws boost::system::system_error if no address is free.
auto bindPeerSockets(const framework::asio::any_io_executor& executor, const std::vector<std::string>& addresses) -> PeerSockets;

} // namespace laburnummill::peers
