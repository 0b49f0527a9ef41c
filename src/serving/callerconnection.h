#pragma once

#include "serving/iresponsewriter.h"
#include "serving/requesthandler.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace laburnummill::serving {

/// State shared by all caller connections of a host.
struct CallerContext
{
    ServingContext& servingContext;
    const IWireCodec& wire;
    int openRequests = 0;
    int requestsSinceSignal = 0; ///< requests read since the host began to stop
};

/// A caller's connection. Reads requests one after the other and writes their responses.
class CallerConnection final : public IResponseWriter, public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(framework::asio::ip::tcp::socket socket, CallerContext& context);

    auto run() -> framework::Async<void>;

    /// Closes the connection unless a request is in progress or has arrived. Returns whether the connection is closed.
    auto closeIfIdle() -> bool;

    /// Whether the first request on the connection may be on its way: callers connect in order to send one at once.
    auto isFirstRequestLikely() const -> bool;

    /// Closes the connection if its caller has taken no byte of a response for the idle timeout.
    auto closeIfStalled() -> void;

    auto sendRefusal(Refusal refusal, std::optional<framework::Milliseconds> retryAfter) -> framework::Async<void> override;
    auto sendWhole(const http::response_header<>& head, std::string body) -> framework::Async<bool> override;
    auto beginStream(const http::response_header<>& head) -> framework::Async<bool> override;
    auto sendChunk(std::string_view bytes) -> framework::Async<bool> override;
    auto endStream() -> framework::Async<bool> override;
    auto abort() -> void override;
    auto hasStarted() const -> bool override { return m_hasStarted; }
    auto isCallerStalled() const -> bool override { return m_isStalled; }
    auto callerDisconnect() -> framework::Cancellation& override { return *m_callerDisconnect; }

private:
    using Parser = http::request_parser<http::string_body>;

    /// Waits for the first byte of a request; returns false if the connection is closed or idle for too long.
    auto waitForInput() -> framework::Async<bool>;
    auto readRequest() -> framework::Async<std::optional<CallerRequest>>;
    auto readWithin(Parser& parser, bool isHeader, framework::Milliseconds timeout) -> framework::Async<boost::system::error_code>;
    auto refuseUnreadable(const boost::system::error_code& error) -> framework::Async<void>;
    auto handle(CallerRequest request) -> framework::Async<void>;
    auto watchForDisconnect() -> void;
    auto write(std::string text) -> framework::Async<bool>;
    auto formatHead(const http::response_header<>& head, std::string_view framing) -> std::string;
    /// Decides whether the connection closes after the response that begins now; returns the field that says so and the end of the head.
    auto connectionField() -> std::string_view;
    auto limits() const -> routing::CallerLimits;
    auto armIdleTimer() -> void;
    auto logUnread(std::string_view reason) -> void;
    auto close() -> void;

    framework::asio::ip::tcp::socket m_socket;
    CallerContext& m_context;
    boost::beast::flat_buffer m_buffer;
    framework::asio::steady_timer m_timer;
    framework::CancellationPtr m_callerDisconnect;
    framework::Instant m_acceptedAt;
    std::optional<framework::Instant> m_writingSince; ///< since when the current write has made no progress
    framework::Instant m_idleSince{};
    framework::Milliseconds m_idleTimeout{0};
    framework::Milliseconds m_writeTimeout{0}; ///< idle timeout when the response began
    std::string m_requestId;
    std::string m_pendingHead; ///< response header, written together with the first chunk
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_hasReadRequest = false;
    bool m_isBusy = false;
    bool m_hasStarted = false;
    bool m_isBroken = false;
    bool m_isStalled = false;
    bool m_isWatching = false;
};

} // namespace laburnummill::serving
