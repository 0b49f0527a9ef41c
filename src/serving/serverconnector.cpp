#include "serving/serverconnector.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "peers/peertransport.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::Backend;
using backends::BackendPtr;
using framework::Async;
using framework::CancellationPtr;
using framework::LogLevel;
using framework::Milliseconds;
using peers::SocketPtr;

/// The latency between data centres is 1 ms, and an accept takes 1 ms; a server that takes longer is unreachable.
constexpr auto s_connectTimeout = Milliseconds(250);

/// Time in which another host should connect to a server: longer than its own timeout.
constexpr auto s_relayTimeout = Milliseconds(400);

/// Hosts that are asked to relay one connection.
constexpr auto s_relayAttempts = std::size_t{2};

/// If a host that is cut off received an answer on an existing connection within this time, the fault concerns new connections only.
constexpr auto s_recentAnswer = Milliseconds(500);

} // namespace

auto DirectDialer::dial(asio::ip::tcp::endpoint server, CancellationPtr cancellation) -> Async<SocketPtr>
{
    return peers::connectWithin(m_executor, server, s_connectTimeout, std::move(cancellation));
}

ServerConnector::ServerConnector(asio::any_io_executor executor, IServerDialer& dialer, const backends::BackendRegistry& backends,
                                 const framework::IClock& clock, framework::Metrics& metrics, const IServerRelays& relays)
    : m_executor(std::move(executor))
    , m_dialer(dialer)
    , m_backends(backends)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_relays(relays)
{}

auto ServerConnector::connect(BackendPtr backend, CancellationPtr cancellation) -> Async<ServerSocket>
{
    const auto endpoint = peers::parseEndpoint(backend->entry.address);
    if (!endpoint) {
        co_return ServerSocket();
    }
    if (!m_reach.isCutOff()) {
        const auto socket = co_await m_dialer.dial(*endpoint, cancellation);
        if (socket) {
            m_reach.recordSuccess();
            co_return ServerSocket{.socket = socket};
        }
        if (cancellation->cancelled()) {
            co_return ServerSocket();
        }
        m_reach.recordFailure(backend->number, m_clock.now());
        maintain();
    }
    if (!m_reach.isCutOff()) {
        co_return ServerSocket();
    }
    co_return co_await connectThroughPeer(*backend, cancellation);
}

auto ServerConnector::connectForPeer(asio::ip::tcp::endpoint server) -> Async<SocketPtr>
{
    return m_dialer.dial(server, std::make_shared<framework::Cancellation>());
}

auto ServerConnector::connectThroughPeer(const Backend& backend, CancellationPtr cancellation) -> Async<ServerSocket>
{
    auto query = peers::messages::RelayQuery();
    query.set_server(backend.entry.id);
    query.set_started_at(backend.entry.startedAt);
    auto addresses = m_relays.serverRelays();
    addresses.resize(std::min(addresses.size(), s_relayAttempts));
    for (const auto& address : addresses) {
        if (cancellation->cancelled()) {
            break;
        }
        const auto endpoint = peers::parseEndpoint(address);
        const auto relayed =
            endpoint ? co_await peers::openRelay(m_executor, *endpoint, query, s_relayTimeout, cancellation) : peers::RelayedConnection();
        m_metrics.count("relayed_connections", {{"outcome", relayed.socket ? "open" : "failed"}});
        if (relayed.socket) {
            const auto end = relayed.isFramed ? peers::StreamEnd::Mark : peers::StreamEnd::Unknown;
            co_return ServerSocket{.socket = relayed.socket, .relay = address, .end = end};
        }
    }
    co_return ServerSocket();
}

auto ServerConnector::reportSilence(const Backend& backend) -> void
{
    m_reach.recordFailure(backend.number, m_clock.now());
    maintain();
}

auto ServerConnector::areIdleConnectionsUsable() const -> bool
{
    return !m_reach.isCutOff() || m_clock.now() < m_answeredAt + s_recentAnswer;
}

auto ServerConnector::isRelayUsable(const std::string& relay) const -> bool
{
    return m_reach.isCutOff() && m_relays.isServerRelay(relay);
}

auto ServerConnector::maintain() -> void
{
    const auto usable = std::ranges::count_if(m_backends.all(), [](const auto& known) { return !known.second->leave->isLeaving(); });
    const auto count = m_reach.probesDue(static_cast<std::size_t>(usable), m_clock.now());
    if (count > 0) {
        m_reach.beginProbe();
        framework::spawnTask(m_executor, "probe", probe(count));
    }
}

auto ServerConnector::serversToProbe(int count) -> std::vector<BackendPtr>
{
    auto servers = std::vector<BackendPtr>();
    for (const auto& [id, backend] : m_backends.all()) {
        servers.push_back(backend);
    }
    std::ranges::shuffle(servers, m_random);
    std::ranges::stable_partition(servers, [this](const auto& server) { return !m_reach.hasFailed(server->number, m_clock.now()); });
    servers.resize(std::min(servers.size(), static_cast<std::size_t>(count)));
    return servers;
}

auto ServerConnector::probe(int count) -> Async<void>
{
    const auto servers = serversToProbe(count);
    const auto remaining = std::make_shared<std::size_t>(servers.size());
    const auto done = std::make_shared<asio::steady_timer>(m_executor, asio::steady_timer::time_point::max());
    for (const auto& server : servers) {
        const auto endpoint = peers::parseEndpoint(server->entry.address).value_or(asio::ip::tcp::endpoint());
        framework::spawnTask(m_executor, "probe", [this, endpoint, remaining, done]() -> Async<void> {
            if (co_await connectForPeer(endpoint)) {
                m_reach.recordSuccess();
            }
            if (--*remaining == 0) {
                done->cancel();
            }
        });
    }
    if (*remaining > 0) {
        auto ignored = boost::system::error_code();
        co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const auto wasCutOff = m_reach.isCutOff();
    const auto changedAt = m_reach.changedAt();
    m_reach.endProbe(static_cast<int>(servers.size()), m_clock.now());
    if (m_reach.isCutOff() != wasCutOff) {
        logChange(servers.size(), changedAt);
    }
}

auto ServerConnector::logChange(std::size_t probedServers, framework::Instant previousChange) -> void
{
    const auto now = m_clock.now();
    const auto isCutOff = m_reach.isCutOff();
    auto fields = framework::Json{{"probedServers", probedServers}, {"failedServers", m_reach.failedServers(now)}};
    if (isCutOff) {
        fields["relays"] = m_relays.serverRelays().size();
        fields["areIdleConnectionsUsable"] = areIdleConnectionsUsable();
    } else {
        fields["tookMs"] = std::chrono::duration_cast<Milliseconds>(now - previousChange).count();
    }
    m_metrics.setGauge("cut_off_from_servers", isCutOff ? 1 : 0);
    framework::logEvent(LogLevel::Warning, "serving", isCutOff ? "servers_unreachable" : "servers_reachable", std::move(fields));
}

} // namespace laburnummill::serving
