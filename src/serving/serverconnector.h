#pragma once

#include "backends/backendregistry.h"
#include "backends/serverreach.h"
#include "framework/global/cancellation.h"
#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "peers/relay.h"
#include "peers/serverstream.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::serving {

/// Opens TCP connections to backend servers.
class IServerDialer
{
public:
    virtual ~IServerDialer() = default;

    /// Returns null if the connection fails, takes too long or is cancelled.
    virtual auto dial(framework::asio::ip::tcp::endpoint server, framework::CancellationPtr cancellation)
        -> framework::Async<peers::SocketPtr> = 0;
};

/// Connects from this host itself.
class DirectDialer final : public IServerDialer
{
public:
    explicit DirectDialer(framework::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {}

    auto dial(framework::asio::ip::tcp::endpoint server, framework::CancellationPtr cancellation)
        -> framework::Async<peers::SocketPtr> override;

private:
    framework::asio::any_io_executor m_executor;
};

/// A new connection to a backend server.
struct ServerSocket
{
    peers::SocketPtr socket; ///< null if the server cannot be reached
    std::string relay;       ///< address of the host through which it leads; empty if it is direct
    peers::StreamEnd end = peers::StreamEnd::Connection;
};

/// The hosts that reach the backend servers by themselves, as far as this host knows.
class IServerRelays
{
public:
    virtual ~IServerRelays() = default;

    /// Addresses of these hosts, the preferred ones first.
    virtual auto serverRelays() const -> std::vector<std::string> = 0;
    virtual auto isServerRelay(std::string_view address) const -> bool = 0;
};

/// Connects to backend servers: directly, or through another host while this host is cut off from the servers.
class ServerConnector
{
public:
    ServerConnector(framework::asio::any_io_executor executor, IServerDialer& dialer, const backends::BackendRegistry& backends,
                    const framework::IClock& clock, framework::Metrics& metrics, const IServerRelays& relays);

    auto connect(backends::BackendPtr backend, framework::CancellationPtr cancellation) -> framework::Async<ServerSocket>;

    /// Connects directly on behalf of another host.
    auto connectForPeer(framework::asio::ip::tcp::endpoint server) -> framework::Async<peers::SocketPtr>;

    /// Reports that a direct connection to the server delivered nothing for an unusually long time.
    auto reportSilence(const backends::Backend& backend) -> void;

    /// Reports that an answer arrived on a direct connection.
    auto reportAnswer() -> void { m_answeredAt = m_clock.now(); }

    /// Whether direct connections that are idle now should be used. While a host is cut off they may be silent.
    auto areIdleConnectionsUsable() const -> bool;

    /// Whether connections through the host at `relay` should be used: this host still needs them, and that host does not leave.
    auto isRelayUsable(const std::string& relay) const -> bool;

    auto isCutOff() const -> bool { return m_reach.isCutOff(); }

    /// Starts a probe if one is due.
    auto maintain() -> void;

private:
    auto serversToProbe(int count) -> std::vector<backends::BackendPtr>;
    auto probe(int count) -> framework::Async<void>;
    /// Logs that the host is cut off, or no longer since `previousChange`.
    auto logChange(std::size_t probedServers, framework::Instant previousChange) -> void;
    auto connectThroughPeer(const backends::Backend& backend, framework::CancellationPtr cancellation) -> framework::Async<ServerSocket>;

    framework::asio::any_io_executor m_executor;
    IServerDialer& m_dialer;
    const backends::BackendRegistry& m_backends;
    const framework::IClock& m_clock;
    framework::Metrics& m_metrics;
    const IServerRelays& m_relays;
    backends::ServerReach m_reach;
    framework::Instant m_answeredAt{}; ///< last answer on a direct connection
    std::minstd_rand m_random{std::random_device()()};
};

} // namespace laburnummill::serving
