#pragma once

#include "framework/global/async.h"
#include "peers/fleetmessages.pb.h"

namespace laburnummill::peers {

/// Takes what other hosts send.
class IPeerHandler
{
public:
    virtual ~IPeerHandler() = default;

    virtual auto onHeartbeat(const messages::Heartbeat& heartbeat) -> void = 0;

    /// Answers a call of another host; the response's id is set by the caller of this.
    virtual auto onRequest(messages::Request request) -> framework::Async<messages::Response> = 0;
};

} // namespace laburnummill::peers
