#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/peererrors.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace laburnummill::peers {

/// Reads one frame (length and protobuf message) and returns the message. Returns nullopt if the connection ended or the frame
/// is too large.
auto readFrame(framework::asio::ip::tcp::socket& socket) -> framework::Async<std::optional<std::string>>;

/// Encodes a message as a frame.
auto encodeFrame(const google::protobuf::MessageLite& message) -> std::string;

/// A connection to another host that carries concurrent calls. It is opened on demand and closed if a call times out while no
/// response arrives.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(framework::asio::any_io_executor executor, framework::asio::ip::tcp::endpoint peer);

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

    framework::asio::any_io_executor m_executor;
    framework::asio::ip::tcp::endpoint m_peer;
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
