#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "framework/http/httptypes.h"
#include "framework/rpc/rpcerrors.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// The asking side of an exchange with a peer: one request, any number of answers.
class IPeerExchange
{
public:
    virtual ~IPeerExchange() = default;

    /// The next answer; nothing after the last. One reader at a time.
    virtual auto read() -> AsyncResult<std::optional<std::string>> = 0;

    /// Sends a further message to the answering side.
    virtual auto write(std::string payload) -> void = 0;

    /// Tells the peer that nobody waits any more.
    virtual auto cancel() -> void = 0;
};

/// The answering side of an exchange.
class IPeerResponder
{
public:
    virtual ~IPeerResponder() = default;

    virtual auto write(std::string payload) -> void = 0;
    virtual auto end() -> void = 0;

    /// Ends the exchange with a failure; only RpcError values cross the link, others arrive as Refused.
    virtual auto fail(std::error_code error) -> void = 0;

    virtual auto cancelled() const -> bool = 0;
    virtual auto onCancel(std::function<void()> handler) -> void = 0;

    /// Calls `handler` for each further message of the asking side.
    virtual auto onMessage(std::function<void(std::string)> handler) -> void = 0;
};

/// Answers the requests of peers on one topic.
using PeerRequestHandler = std::function<Async<void>(std::string payload, std::shared_ptr<IPeerResponder> responder)>;

/// Takes one-way messages of peers on one topic.
using PeerMessageHandler = std::function<void(std::string payload)>;

/// Messages between daemons: one long-lived stream a peer, frames batched per flush.
class IPeers
{
public:
    static constexpr std::string_view s_serviceName = "framework.peers";

    virtual ~IPeers() = default;

    virtual auto serve(std::string topic, PeerRequestHandler handler) -> void = 0;
    virtual auto listenFor(std::string topic, PeerMessageHandler handler) -> void = 0;

    /// Sends a one-way message; it is lost where the peer cannot be reached.
    virtual auto send(const Endpoint& peer, std::string_view topic, std::string payload) -> void = 0;

    /// Opens an exchange with a first message.
    virtual auto open(const Endpoint& peer, std::string_view topic, std::string payload) -> std::shared_ptr<IPeerExchange> = 0;

    /// One request, one answer.
    virtual auto request(const Endpoint& peer, std::string_view topic, std::string payload, Milliseconds timeout)
        -> AsyncResult<std::string> = 0;

    /// The daemon's executor, for tasks that send.
    virtual auto executor() const -> asio::any_io_executor = 0;

    /// Refuses to talk to `peer` in either direction of our own links; for drills of a network partition.
    virtual auto block(const Endpoint& peer, bool blocked) -> void = 0;
};

} // namespace laburnummill::framework
