#pragma once

#include "framework/global/async.h"
#include "peers/fleetmessages.pb.h"
#include "peers/relay.h"

namespace laburnummill::peers {

/// Handles heartbeats and calls from other hosts.
class IPeerHandler
{
public:
    virtual ~IPeerHandler() = default;

    virtual auto onHeartbeat(const messages::Heartbeat& heartbeat) -> void = 0;

    /// Handles a call from another host. The caller of this function sets the id of the response.
    virtual auto onRequest(messages::Request request) -> framework::Async<messages::Response> = 0;

    /// Connects to the backend server of a query. Returns null if this host does not reach the server or should not use it.
    virtual auto connectForPeer(messages::RelayQuery query) -> framework::Async<SocketPtr> = 0;
};

} // namespace laburnummill::peers
