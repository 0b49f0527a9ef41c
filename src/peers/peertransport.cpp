#include "peers/peertransport.h"

#include "framework/global/tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Writes the responses of one accepted connection sequentially.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter>
{
public:
    ResponseWriter(asio::ip::tcp::socket socket, scheduling::BufferMemory& memory, std::string_view owner)
        : m_socket(std::move(socket))
        , m_memory(memory, owner)
    {}

    auto socket() -> asio::ip::tcp::socket& { return m_socket; }

    /// Closes the connection if the peer does not read its responses, and they exceed what may be buffered for it.
    auto send(const messages::Response& response) -> void
    {
        if (!m_memory.grow(response.ByteSizeLong())) {
            auto ignored = boost::system::error_code();
            m_socket.close(ignored);
            return;
        }
        m_outgoing.push_back(encodeFrame(response));
        if (!m_isWriting) {
            m_isWriting = true;
            framework::spawnTask(m_socket.get_executor(), "peer_responses", write());
        }
    }

private:
    auto write() -> Async<void>
    {
        const auto self = shared_from_this();
        while (!m_outgoing.empty()) {
            const auto frame = std::move(m_outgoing.front());
            m_outgoing.pop_front();
            auto error = boost::system::error_code();
            co_await asio::async_write(m_socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                m_outgoing.clear(); // The caller detects the closed connection and retries.
            }
            m_memory.resize(m_outgoing.empty() ? 0 : m_memory.bytes() - std::min(m_memory.bytes(), frame.size()));
        }
        m_isWriting = false;
    }

    asio::ip::tcp::socket m_socket;
    scheduling::BufferMemory::Share m_memory;
    std::deque<std::string> m_outgoing;
    bool m_isWriting = false;
};

} // namespace

PeerTransport::PeerTransport(asio::any_io_executor executor, PeerSockets sockets, scheduling::BufferMemory& memory,
                             std::size_t maxConnections, IPeerHandler& handler)
    : m_executor(std::move(executor))
    , m_memory(memory)
    , m_maxConnections(maxConnections)
    , m_handler(handler)
    , m_datagrams(std::move(sockets.datagrams))
    , m_listener(std::move(sockets.acceptor), "peers")
{}

auto PeerTransport::start() -> void
{
    framework::spawnLoop(m_executor, "heartbeats_received", [this] { return receiveLoop(); });
    framework::spawnLoop(m_executor, "peer_connections", [this] {
        return m_listener.accept([this](asio::ip::tcp::socket socket) {
            if (static_cast<std::size_t>(m_connections.count()) < m_maxConnections) {
                framework::spawnTask(m_executor, "peer_requests", serve(std::move(socket)));
            }
        });
    });
}

auto PeerTransport::stop() -> void
{
    auto ignored = boost::system::error_code();
    m_datagrams.close(ignored);
    m_listener.close();
}

auto PeerTransport::sendHeartbeat(std::string_view address, const std::string& datagram) -> void
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return;
    }
    auto error = boost::system::error_code();
    m_datagrams.non_blocking(true, error);
    m_datagrams.send_to(asio::buffer(datagram), asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
    m_sentBytes += error ? 0 : datagram.size();
}

auto PeerTransport::call(std::string address, messages::Request request, Milliseconds timeout) -> AsyncResult<messages::Response>
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return PeerError::Unreachable;
    }
    auto& link = m_links[address];
    if (!link) {
        link = std::make_shared<PeerLink>(m_executor, *endpoint, m_memory);
    }
    m_sentBytes += request.ByteSizeLong();
    const auto heldLink = link;
    co_return co_await heldLink->call(std::move(request), timeout);
}

auto PeerTransport::receiveLoop() -> Async<void>
{
    auto buffer = std::make_unique<std::array<char, s_maxDatagramSize>>();
    while (m_datagrams.is_open()) {
        auto from = asio::ip::udp::endpoint();
        auto error = boost::system::error_code();
        const auto size =
            co_await m_datagrams.async_receive_from(asio::buffer(*buffer), from, asio::redirect_error(asio::use_awaitable, error));
        auto heartbeat = messages::Heartbeat();
        if (!error && heartbeat.ParseFromArray(buffer->data(), static_cast<int>(size))) {
            m_handler.onHeartbeat(heartbeat);
        }
    }
}

auto PeerTransport::serve(asio::ip::tcp::socket socket) -> Async<void>
{
    const auto open = m_connections.begin();
    auto unknown = boost::system::error_code();
    const auto from = socket.remote_endpoint(unknown);
    const auto owner = "host " + from.address().to_string();
    const auto writer = std::make_shared<ResponseWriter>(std::move(socket), m_memory, owner);
    while (true) {
        auto memory = scheduling::BufferMemory::Share(m_memory, owner);
        const auto frame = co_await readFrame(writer->socket(), s_maxFrameSize, &memory);
        auto request = messages::Request();
        if (!frame || !request.ParseFromString(*frame)) {
            co_return;
        }
        if (request.body_case() == messages::Request::kRelayQuery) {
            co_return co_await serveRelay(std::make_shared<asio::ip::tcp::socket>(std::move(writer->socket())), request.relay_query());
        }
        framework::spawnTask(m_executor, "peer_request",
                             [this, writer, request = std::move(request), memory = std::move(memory)]() mutable -> Async<void> {
                                 const auto id = request.id();
                                 auto response = co_await m_handler.onRequest(std::move(request));
                                 response.set_id(id);
                                 m_sentBytes += response.ByteSizeLong();
                                 writer->send(response);
                             });
    }
}

auto PeerTransport::serveRelay(SocketPtr socket, messages::RelayQuery query) -> Async<void>
{
    const auto isFramed = query.reads_frames();
    const auto server = m_relays.count() < s_maxRelays ? co_await m_handler.connectForPeer(std::move(query)) : nullptr;
    auto response = messages::Response();
    response.set_is_relayed(server != nullptr);
    response.set_is_framed(isFramed);
    const auto frame = encodeFrame(response);
    auto error = boost::system::error_code();
    co_await asio::async_write(*socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
    if (error || !server) {
        co_return;
    }
    const auto open = m_relays.begin();
    co_await relay(socket, server, isFramed);
}

} // namespace laburnummill::peers
