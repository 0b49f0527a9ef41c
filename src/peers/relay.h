#pragma once

#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace laburnummill::peers {

using SocketPtr = std::shared_ptr<framework::asio::ip::tcp::socket>;

/// Opens a TCP connection. Returns null if that fails, takes longer than `timeout` or is cancelled.
auto connectWithin(framework::asio::any_io_executor executor, framework::asio::ip::tcp::endpoint endpoint, framework::Milliseconds timeout,
                   framework::CancellationPtr cancellation) -> framework::Async<SocketPtr>;

/// Opens a connection to a backend server through the host at `peer`: what is written to it arrives at the server and vice versa. Returns
/// null if the host does not answer in time or does not reach the server.
auto openRelay(framework::asio::any_io_executor executor, framework::asio::ip::tcp::endpoint peer, messages::RelayQuery query,
               framework::Milliseconds timeout, framework::CancellationPtr cancellation) -> framework::Async<SocketPtr>;

/// Copies bytes between two connections in both directions until either ends, then closes both.
auto relay(SocketPtr one, SocketPtr other) -> framework::Async<void>;

} // namespace laburnummill::peers
