#pragma once

#include "framework/rpc/ipeers.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace laburnummill::framework {

/// Peer messages over gRPC. All methods are called on the daemon's executor.
class GrpcPeers final : public IPeers
{
public:
    /// `self` is the address under which peers reach this daemon.
    GrpcPeers(asio::any_io_executor executor, Endpoint self);
    ~GrpcPeers() override;

    GrpcPeers(const GrpcPeers&) = delete;
    auto operator=(const GrpcPeers&) -> GrpcPeers& = delete;

    auto listen(const Endpoint& endpoint) -> Result<void>;

    /// Closes all links; running exchanges fail.
    auto stop() -> void;

    auto serve(std::string topic, PeerRequestHandler handler) -> void override;
    auto listenFor(std::string topic, PeerMessageHandler handler) -> void override;
    auto send(const Endpoint& peer, std::string_view topic, std::string payload) -> void override;
    auto open(const Endpoint& peer, std::string_view topic, std::string payload) -> std::shared_ptr<IPeerExchange> override;
    auto request(const Endpoint& peer, std::string_view topic, std::string payload, Milliseconds timeout)
        -> AsyncResult<std::string> override;
    auto executor() const -> asio::any_io_executor override;
    auto block(const Endpoint& peer, bool blocked) -> void override;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace laburnummill::framework
