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

/// A connection to a backend server that another host relays.
struct RelayedConnection
{
    SocketPtr socket; ///< null if the host does not answer in time or does not reach the server
    bool isFramed = false;
};

/// Opens a connection to a backend server through the host at `peer`: what is written to it arrives at the server and vice versa, there
/// in frames if that host knows these.
auto openRelay(framework::asio::any_io_executor executor, framework::asio::ip::tcp::endpoint peer, messages::RelayQuery query,
               framework::Milliseconds timeout, framework::CancellationPtr cancellation) -> framework::Async<RelayedConnection>;

/// Copies bytes between another host and a backend server in both directions until either ends, then closes both. With `isFramed` the
/// server's bytes are passed on in frames, and the end of its connection is marked.
auto relay(SocketPtr host, SocketPtr server, bool isFramed) -> framework::Async<void>;

} // namespace laburnummill::peers
