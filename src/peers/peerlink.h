#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/peererrors.h"
#include "scheduling/buffermemory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace laburnummill::peers {

/// Size of the largest frame in bytes; larger than any batch of turns sent on handover.
inline constexpr auto s_maxFrameSize = std::uint32_t{8 * 1024 * 1024};

/// Reads one frame (length and protobuf message) and returns the message. Returns nullopt if the connection ended, or the frame is larger
/// than `limit` or than what `memory`, if not null, may grow by as the frame arrives.
auto readFrame(framework::asio::ip::tcp::socket& socket, std::uint32_t limit, scheduling::BufferMemory::Share* memory)
    -> framework::Async<std::optional<std::string>>;

/// Encodes a message as a frame.
auto encodeFrame(const google::protobuf::MessageLite& message) -> std::string;

/// A connection to another host that carries concurrent calls. It is opened on demand and closed if a call times out while no
/// response arrives.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(framework::asio::any_io_executor executor, framework::asio::ip::tcp::endpoint peer, scheduling::BufferMemory& memory);

    auto call(messages::Request request, framework::Milliseconds timeout) -> framework::AsyncResult<messages::Response>;

private:
    struct PendingCall
    {
        framework::asio::steady_timer done;
        std::optional<messages::Response> response;
        bool isLost = false;
    };

    auto connect() -> framework::Async<bool>;
    auto readLoop(std::uint64_t connection) -> framework::Async<void>;
    auto writeLoop(std::uint64_t connection) -> framework::Async<void>;
    auto drop() -> void;
    /// Drops that connection, unless another one has replaced it.
    auto dropConnection(std::uint64_t connection) -> void;

    framework::asio::any_io_executor m_executor;
    framework::asio::ip::tcp::endpoint m_peer;
    scheduling::BufferMemory& m_memory;
    std::shared_ptr<framework::asio::ip::tcp::socket> m_socket; ///< shared with the loops that wait on it
    std::uint64_t m_connection = 0;
    bool m_isConnecting = false;
    bool m_isWriting = false;
    std::deque<std::string> m_outgoing;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_received = 0;
};

} // namespace laburnummill::peers
