#include "peers/peertransport.h"

#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

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
    explicit ResponseWriter(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {}

    auto socket() -> asio::ip::tcp::socket& { return m_socket; }

    auto send(const messages::Response& response) -> void
    {
        m_outgoing.push_back(encodeFrame(response));
        if (!m_isWriting) {
            m_isWriting = true;
            asio::co_spawn(m_socket.get_executor(), write(), asio::detached);
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
        }
        m_isWriting = false;
    }

    asio::ip::tcp::socket m_socket;
    std::deque<std::string> m_outgoing;
    bool m_isWriting = false;
};

} // namespace

auto parseEndpoint(std::string_view address) -> std::optional<asio::ip::tcp::endpoint>
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto error = boost::system::error_code();
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
    auto port = std::uint16_t{0};
    const auto digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, port);
}

PeerTransport::PeerTransport(asio::any_io_executor executor, const asio::ip::tcp::endpoint& address, IPeerHandler& handler)
    : m_executor(std::move(executor))
    , m_handler(handler)
    , m_datagrams(m_executor, asio::ip::udp::endpoint(address.address(), address.port()))
    , m_acceptor(m_executor, address)
{}

auto PeerTransport::start() -> void
{
    asio::co_spawn(m_executor, receiveLoop(), asio::detached);
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
}

auto PeerTransport::stop() -> void
{
    auto ignored = boost::system::error_code();
    m_datagrams.close(ignored);
    m_acceptor.close(ignored);
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
        link = std::make_shared<PeerLink>(m_executor, *endpoint);
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

auto PeerTransport::acceptLoop() -> Async<void>
{
    while (m_acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            framework::logEvent(framework::LogLevel::Warning, "peers", "accept_failed", {{"reason", error.message()}});
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        asio::co_spawn(m_executor, serve(std::move(socket)), asio::detached);
    }
}

auto PeerTransport::serve(asio::ip::tcp::socket socket) -> Async<void>
{
    const auto writer = std::make_shared<ResponseWriter>(std::move(socket));
    while (true) {
        const auto frame = co_await readFrame(writer->socket());
        auto request = messages::Request();
        if (!frame || !request.ParseFromString(*frame)) {
            co_return;
        }
        if (request.body_case() == messages::Request::kRelayQuery) {
            co_return co_await serveRelay(std::make_shared<asio::ip::tcp::socket>(std::move(writer->socket())), request.relay_query());
        }
        asio::co_spawn(
            m_executor,
            [this, writer, request = std::move(request)]() mutable -> Async<void> {
                const auto id = request.id();
                auto response = co_await m_handler.onRequest(std::move(request));
                response.set_id(id);
                m_sentBytes += response.ByteSizeLong();
                writer->send(response);
            },
            asio::detached);
    }
}

auto PeerTransport::serveRelay(SocketPtr socket, messages::RelayQuery query) -> Async<void>
{
    const auto server = m_relays < s_maxRelays ? co_await m_handler.connectForPeer(std::move(query)) : nullptr;
    auto response = messages::Response();
    response.set_is_relayed(server != nullptr);
    const auto frame = encodeFrame(response);
    auto error = boost::system::error_code();
    co_await asio::async_write(*socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
    if (error || !server) {
        co_return;
    }
    ++m_relays;
    co_await relay(socket, server);
    --m_relays;
}

} // namespace laburnummill::peers
