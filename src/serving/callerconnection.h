#pragma once

#include "framework/global/workcount.h"
#include "serving/iresponsewriter.h"
#include "serving/requesthandler.h"
#include "serving/requestreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace laburnummill::serving {

/// State shared by all caller connections of a host.
struct CallerContext
{
    ServingContext& servingContext;
    const IWireCodec& wire;
    framework::WorkCount connections;
    framework::WorkCount openRequests;
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

    /// Since when the connection could be closed for another one without harm to a request: it is idle, its request's header has not
    /// arrived whole although callers send it at once, or its request was refused. Nullopt if a request is in progress or may be on its
    /// way.
    auto replaceableSince() const -> std::optional<framework::Instant>;

    /// Closes a connection that is replaceable. Returns whether it is closed.
    auto replace() -> bool;

    /// Whether the first request on the connection may be on its way: callers connect in order to send one at once.
    auto isFirstRequestLikely() const -> bool;

    /// Closes the connection if its caller has taken no byte of a response for the idle timeout.
    auto closeIfStalled() -> void;

    auto sendRefusal(Refusal refusal, std::optional<framework::Milliseconds> retryAfter) -> framework::Async<void> override;
    auto sendWhole(const framework::ResponseHead& head, std::string body) -> framework::Async<bool> override;
    auto beginStream(const framework::ResponseHead& head) -> framework::Async<bool> override;
    auto sendChunk(std::string_view bytes) -> framework::Async<bool> override;
    auto endStream() -> framework::Async<bool> override;
    auto abort() -> void override;
    auto hasStarted() const -> bool override { return m_hasStarted; }
    auto isCallerStalled() const -> bool override { return m_isStalled; }
    auto callerDisconnect() -> framework::Cancellation& override { return *m_callerDisconnect; }

private:
    /// Waits for the first byte of a request; returns false if the connection is closed or idle for too long.
    auto waitForInput() -> framework::Async<bool>;
    auto readRequest() -> framework::Async<std::optional<CallerRequest>>;
    /// Reads the body once the request may be read; returns false if it was refused before.
    auto readBody(RequestReader& reader, const CallerRequest& request) -> framework::Async<bool>;
    auto refuseUnreadable(RequestReader& reader, const boost::system::error_code& error) -> framework::Async<void>;
    auto refuseUnread(RequestReader& reader, Refusal refusal) -> framework::Async<void>;
    auto discardRest(RequestReader& reader) -> framework::Async<void>;
    auto handle(CallerRequest request) -> framework::Async<void>;
    auto watchForDisconnect() -> void;
    auto write(std::string text) -> framework::Async<bool>;
    auto formatHead(const framework::ResponseHead& head, std::string_view framing) -> std::string;
    /// Decides whether the connection closes after the response that begins now; returns the field that says so and the end of the head.
    auto connectionField() -> std::string_view;
    auto limits() const -> routing::CallerLimits;
    auto armIdleTimer() -> void;
    auto logUnread(std::string_view reason) -> void;
    auto close() -> void;

    std::shared_ptr<framework::asio::ip::tcp::socket> m_socket;
    CallerContext& m_context;
    framework::WorkCount::Token m_connection;
    scheduling::BufferMemory::Share m_memory; ///< of the current request
    boost::beast::flat_buffer m_buffer;
    framework::asio::steady_timer m_timer;
    framework::CancellationPtr m_callerDisconnect;
    framework::Instant m_acceptedAt;
    std::optional<framework::Instant> m_writingSince; ///< since when the current write has made no progress
    framework::Instant m_idleSince{};
    std::optional<framework::Instant> m_unfinishedSince; ///< since when a header is read, or what follows a refused request is dropped
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
