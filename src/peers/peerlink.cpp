#include "peers/peerlink.h"

#include "framework/global/tasks.h"
#include "framework/global/timelimit.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <cstring>
#include <functional>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Frames up to this size are not counted: they are few, as each connection reads one at a time, and a host under pressure needs them.
constexpr auto s_uncountedFrameSize = std::uint32_t{64 * 1024};

/// Memory is taken as the bytes arrive, not by the length that a frame states.
constexpr auto s_frameStep = std::size_t{256 * 1024};

/// Runs an action at the end of a loop of a link, also if that ends by an exception.
class LinkEnd
{
public:
    explicit LinkEnd(std::function<void()> action)
        : m_action(std::move(action))
    {}
    LinkEnd(const LinkEnd&) = delete;
    auto operator=(const LinkEnd&) -> LinkEnd& = delete;
    ~LinkEnd()
    {
        if (m_action) {
            m_action();
        }
    }

    auto cancel() -> void { m_action = nullptr; }

private:
    std::function<void()> m_action;
};

} // namespace

auto readFrame(asio::ip::tcp::socket& socket, std::uint32_t limit, scheduling::BufferMemory::Share* memory)
    -> Async<std::optional<std::string>>
{
    auto error = boost::system::error_code();
    auto length = std::uint32_t{0};
    co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)), asio::redirect_error(asio::use_awaitable, error));
    boost::endian::little_to_native_inplace(length);
    if (error || length > limit) {
        co_return std::nullopt;
    }
    auto body = std::string();
    while (body.size() < length) {
        const auto read = body.size();
        const auto step = std::min(s_frameStep, length - read);
        if (memory != nullptr && length > s_uncountedFrameSize && !memory->grow(step)) {
            co_return std::nullopt;
        }
        body.resize(read + step);
        co_await asio::async_read(socket, asio::buffer(body.data() + read, step), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return std::nullopt;
        }
    }
    co_return body;
}

auto encodeFrame(const google::protobuf::MessageLite& message) -> std::string
{
    const auto length = boost::endian::native_to_little(static_cast<std::uint32_t>(message.ByteSizeLong()));
    auto frame = std::string(sizeof(length), '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    message.AppendToString(&frame);
    return frame;
}

PeerLink::PeerLink(asio::any_io_executor executor, asio::ip::tcp::endpoint peer, scheduling::BufferMemory& memory)
    : m_executor(std::move(executor))
    , m_peer(std::move(peer))
    , m_memory(memory)
{}

auto PeerLink::call(messages::Request request, Milliseconds timeout) -> AsyncResult<messages::Response>
{
    const auto self = shared_from_this();
    const auto id = m_nextId++;
    request.set_id(id);
    auto pending = std::make_shared<PendingCall>(PendingCall{.done = asio::steady_timer(m_executor), .response = {}, .isLost = false});
    pending->done.expires_after(timeout);
    m_pending.emplace(id, pending);
    m_outgoing.push_back(encodeFrame(request));
    const auto receivedBefore = m_received;
    if (m_socket && !m_isConnecting && !m_isWriting) {
        framework::spawnTask(m_executor, "peer_calls", writeLoop(m_connection));
    } else if (!m_socket && !m_isConnecting) {
        framework::spawnTask(m_executor, "peer_calls", [self]() -> Async<void> {
            if (co_await self->connect()) {
                co_await self->writeLoop(self->m_connection);
            }
        });
    }
    auto ignored = boost::system::error_code();
    co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const auto late = std::chrono::steady_clock::now() - pending->done.expiry();
    if (!pending->response && !pending->isLost && late > framework::s_lateTimer) {
        pending->done.expires_after(std::min<std::chrono::steady_clock::duration>(late, timeout));
        co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_pending.erase(id);
    if (pending->response) {
        co_return std::move(*pending->response);
    }
    if (pending->isLost) {
        co_return PeerError::Unreachable;
    }
    if (m_received == receivedBefore) {
        drop();
    }
    co_return PeerError::TimedOut;
}

auto PeerLink::connect() -> Async<bool>
{
    m_isConnecting = true;
    const auto connection = ++m_connection;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    m_socket = socket;
    auto error = boost::system::error_code();
    co_await socket->async_connect(m_peer, asio::redirect_error(asio::use_awaitable, error));
    if (connection != m_connection) {
        co_return false;
    }
    m_isConnecting = false;
    if (error) {
        drop();
        co_return false;
    }
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    framework::spawnTask(m_executor, "peer_answers", readLoop(connection));
    co_return true;
}

auto PeerLink::readLoop(std::uint64_t connection) -> Async<void>
{
    const auto self = shared_from_this();
    const auto socket = m_socket;
    const auto end = LinkEnd([this, connection] { dropConnection(connection); });
    while (connection == m_connection) {
        auto memory = scheduling::BufferMemory::Share(m_memory, "host " + m_peer.address().to_string());
        const auto frame = co_await readFrame(*socket, s_maxFrameSize, &memory);
        if (connection != m_connection) {
            co_return;
        }
        auto response = messages::Response();
        if (!frame || !response.ParseFromString(*frame)) {
            co_return;
        }
        ++m_received;
        const auto found = m_pending.find(response.id());
        if (found != m_pending.end()) {
            found->second->response = std::move(response);
            found->second->done.cancel();
        }
    }
}

auto PeerLink::writeLoop(std::uint64_t connection) -> Async<void>
{
    const auto self = shared_from_this();
    const auto socket = m_socket;
    auto end = LinkEnd([this, connection] { dropConnection(connection); });
    m_isWriting = true;
    while (connection == m_connection && !m_outgoing.empty()) {
        const auto frame = std::move(m_outgoing.front());
        m_outgoing.pop_front();
        auto error = boost::system::error_code();
        co_await asio::async_write(*socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
        if (error && connection == m_connection) {
            drop();
        }
    }
    end.cancel();
    if (connection == m_connection) {
        m_isWriting = false;
    }
}

auto PeerLink::dropConnection(std::uint64_t connection) -> void
{
    if (connection == m_connection) {
        drop();
    }
}

auto PeerLink::drop() -> void
{
    ++m_connection;
    m_isConnecting = false;
    m_isWriting = false;
    m_outgoing.clear();
    if (m_socket) {
        auto ignored = boost::system::error_code();
        m_socket->close(ignored);
    }
    m_socket.reset();
    for (auto& [id, pending] : m_pending) {
        pending->isLost = true;
        pending->done.cancel();
    }
}

} // namespace laburnummill::peers
