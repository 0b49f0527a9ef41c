#include "serving/callerconnection.h"

#include "framework/logging/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <array>

#include <sys/socket.h>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

/// A kept connection holds no more than this between requests.
constexpr auto s_keptBufferBytes = std::size_t{4 * 1024};

/// By then memory may be free, or another host has some.
constexpr auto s_retryHostFull = Milliseconds(250);

/// Callers send their first request within milliseconds of connecting; the rest allows for busy machines.
constexpr auto s_firstRequestTime = Milliseconds(200);

auto isClosedByPeer(int descriptor) -> bool
{
    auto byte = char{0};
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto hasPendingBytes(int descriptor) -> bool
{
    auto byte = char{0};
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Whether a header applies to a single connection and must not be forwarded.
auto isHopByHop(std::string_view name) -> bool
{
    constexpr auto names = std::array<std::string_view, 8>{"connection",       "keep-alive", "transfer-encoding", "content-length",
                                                           "proxy-connection", "te",         "trailer",           "upgrade"};
    return std::ranges::any_of(names, [name](std::string_view hop) { return boost::beast::iequals(name, hop); });
}

auto refusalStatus(const boost::system::error_code& error) -> http::status
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit || error == http::error::buffer_overflow) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerContext& context)
    : m_socket(std::make_shared<asio::ip::tcp::socket>(std::move(socket)))
    , m_context(context)
    , m_connection(context.connections.begin())
    , m_timer(m_socket->get_executor())
    , m_callerDisconnect(std::make_shared<framework::Cancellation>())
    , m_acceptedAt(context.servingContext.clock.now())
{}

auto CallerConnection::run() -> Async<void>
{
    const auto self = shared_from_this();
    while (m_keepAlive && !m_isBroken && m_socket->is_open()) {
        if (!co_await waitForInput()) {
            break;
        }
        // The request counts from its first byte on. Otherwise a stopping host would close the connection while it is read.
        m_isBusy = true;
        m_hasReadRequest = true;
        auto isRead = false;
        {
            const auto open = m_context.openRequests.begin();
            auto request = co_await readRequest();
            isRead = request.has_value();
            if (request) {
                m_context.requestsSinceSignal += m_context.servingContext.shutdown.hasBegun() ? 1 : 0;
                co_await handle(std::move(*request));
            }
            m_memory = {};
        }
        m_isBusy = false;
        if (!isRead) {
            break;
        }
        if (m_buffer.size() == 0 && m_buffer.capacity() > s_keptBufferBytes) {
            m_buffer.shrink_to_fit();
        }
    }
    close();
}

auto CallerConnection::closeIfIdle() -> bool
{
    if (!m_socket->is_open()) {
        return true;
    }
    if (m_isBusy || m_buffer.size() > 0 || hasPendingBytes(m_socket->native_handle())) {
        return false;
    }
    auto ignored = boost::system::error_code();
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket->cancel(ignored);
    return true;
}

auto CallerConnection::replaceableSince() const -> std::optional<framework::Instant>
{
    if (!m_socket->is_open() || isFirstRequestLikely()) {
        return std::nullopt;
    }
    if (!m_isBusy) {
        return m_idleSince;
    }
    const auto isLate = m_unfinishedSince && m_context.servingContext.clock.now() >= *m_unfinishedSince + s_firstRequestTime;
    return isLate ? m_unfinishedSince : std::nullopt;
}

auto CallerConnection::replace() -> bool
{
    if (!m_isBusy) {
        return closeIfIdle();
    }
    auto ignored = boost::system::error_code();
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket->cancel(ignored);
    return true;
}

auto CallerConnection::isFirstRequestLikely() const -> bool
{
    return m_socket->is_open() && !m_hasReadRequest && m_context.servingContext.clock.now() < m_acceptedAt + s_firstRequestTime;
}

auto CallerConnection::closeIfStalled() -> void
{
    // A configuration that shortens the timeout does not concern responses that have begun.
    const auto timeout = std::max(m_writeTimeout, limits().idleTimeout);
    if (m_writingSince && m_context.servingContext.clock.now() >= *m_writingSince + timeout) {
        m_isStalled = true;
        auto ignored = boost::system::error_code();
        m_socket->close(ignored);
    }
}

auto CallerConnection::limits() const -> routing::CallerLimits
{
    const auto& routes = m_context.servingContext.fleetState.routes();
    return routes ? routes->configuration().limits : routing::CallerLimits();
}

auto CallerConnection::waitForInput() -> Async<bool>
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_idleSince = m_context.servingContext.clock.now();
    m_idleTimeout = limits().idleTimeout;
    armIdleTimer();
    auto error = boost::system::error_code();
    co_await m_socket->async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    m_timer.cancel();
    co_return !error && !isClosedByPeer(m_socket->native_handle());
}

auto CallerConnection::armIdleTimer() -> void
{
    m_timer.expires_at(std::chrono::steady_clock::time_point((m_idleSince + m_idleTimeout).time_since_epoch()));
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        if (self->m_idleTimeout < self->limits().idleTimeout) {
            // Callers keep connections open by the timeout of the newest configuration that they know.
            self->m_idleTimeout = self->limits().idleTimeout;
            self->armIdleTimer();
        } else if (!self->m_isBusy && self->closeIfIdle()) {
            self->m_context.servingContext.metrics.count("caller_connections_closed", {{"reason", "idle"}});
        }
    });
}

auto CallerConnection::logUnread(std::string_view reason) -> void
{
    m_context.servingContext.metrics.count("requests_unread", {{"reason", std::string(reason)}});
    framework::logEvent(framework::LogLevel::Info, "serving", "request_unread",
                        {{"reason", reason}, {"bytes", m_buffer.size()}, {"stopping", m_context.servingContext.shutdown.hasBegun()}});
}

auto CallerConnection::readRequest() -> Async<std::optional<CallerRequest>>
{
    m_requestId.clear();
    m_memory = scheduling::BufferMemory::Share(m_context.servingContext.bufferMemory, callerOwner({}));
    auto reader = RequestReader(m_socket, m_buffer, limits(), m_memory);
    m_unfinishedSince = m_context.servingContext.clock.now();
    const auto error = co_await reader.readHead();
    m_unfinishedSince.reset();
    const auto& head = reader.parser().get();
    m_isHeadRequest = head.method() == http::verb::head;
    if (error) {
        co_await refuseUnreadable(reader, error);
        co_return std::nullopt;
    }
    auto request = m_context.wire.decodeRequest(head.base());
    if (!request) {
        co_await refuseUnread(reader, Refusal::BadRequest);
        co_return std::nullopt;
    }
    m_requestId = request->id;
    if (!reader.isWhole() && !co_await readBody(reader, *request)) {
        co_return std::nullopt;
    }
    m_keepAlive = head.keep_alive() && head.version() >= 11;
    request->body = std::move(reader.parser().get().body());
    request->arrivedAt = m_context.servingContext.clock.now();
    co_return request;
}

auto CallerConnection::readBody(RequestReader& reader, const CallerRequest& request) -> Async<bool>
{
    const auto authorization = authorize(m_context.servingContext.fleetState.routes(), request);
    const auto isContinueExpected = boost::beast::iequals(reader.parser().get()[http::field::expect], "100-continue");
    if (isContinueExpected && !authorization.refusal) {
        co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    auto error = isContinueExpected && authorization.refusal ? boost::system::error_code() : co_await reader.readSmallBody();
    if (!error && !reader.isWhole() && authorization.refusal) {
        co_await refuseUnread(reader, *authorization.refusal);
        co_return false;
    }
    const auto isCharged = authorization.refusal || m_memory.setOwner(callerOwner(authorization.account));
    if (!error && !isCharged) {
        error = make_error_code(boost::system::errc::not_enough_memory);
    }
    if (!error && !reader.isWhole()) {
        error = co_await reader.readBody();
    }
    if (error) {
        co_await refuseUnreadable(reader, error);
        co_return false;
    }
    co_return true;
}

auto CallerConnection::refuseUnread(RequestReader& reader, Refusal refusal) -> Async<void>
{
    logUnread(framework::nameOf(s_refusalNames, refusal));
    m_keepAlive = false;
    co_await sendRefusal(refusal, refusal == Refusal::HostFull ? std::optional(s_retryHostFull) : std::nullopt);
    co_await discardRest(reader);
}

auto CallerConnection::refuseUnreadable(RequestReader& reader, const boost::system::error_code& error) -> Async<void>
{
    m_keepAlive = false;
    if (error == boost::system::errc::not_enough_memory) {
        co_return co_await refuseUnread(reader, Refusal::HostFull);
    }
    if (error.category() != http::make_error_code(http::error::bad_method).category() || error == http::error::end_of_stream ||
        error == http::error::partial_message) {
        co_return logUnread(error.message()); // The connection is closed or timed out, so no response is expected.
    }
    framework::logEvent(framework::LogLevel::Info, "serving", "request_unreadable", {{"reason", error.message()}});
    co_await write(fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                               static_cast<unsigned>(refusalStatus(error)), std::string(http::obsolete_reason(refusalStatus(error)))));
    co_await discardRest(reader);
}

auto CallerConnection::discardRest(RequestReader& reader) -> Async<void>
{
    m_memory = {};
    m_unfinishedSince = m_context.servingContext.clock.now() - s_firstRequestTime;
    co_await reader.discardRest();
    m_unfinishedSince.reset();
}

auto CallerConnection::handle(CallerRequest request) -> Async<void>
{
    m_requestId = request.id;
    m_hasStarted = false;
    m_writeTimeout = limits().idleTimeout;
    m_callerDisconnect = std::make_shared<framework::Cancellation>();
    watchForDisconnect();
    {
        auto run = RequestHandler(m_context.servingContext, std::move(request), *this);
        co_await run.run();
    }
    m_callerDisconnect = std::make_shared<framework::Cancellation>();
}

auto CallerConnection::watchForDisconnect() -> void
{
    if (m_isWatching) {
        return;
    }
    m_isWatching = true;
    m_socket->async_wait(asio::ip::tcp::socket::wait_read, [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->m_isWatching = false;
        if (!self->m_isBusy) {
            return;
        }
        if (error || isClosedByPeer(self->m_socket->native_handle())) {
            self->m_isBroken = true;
            self->m_callerDisconnect->cancel();
        }
    });
}

auto CallerConnection::sendRefusal(Refusal refusal, std::optional<Milliseconds> retryAfter) -> Async<void>
{
    auto fields = http::fields();
    m_context.wire.addOwnResponseFields(fields, m_requestId, retryAfter);
    const auto status = statusOf(refusal);
    // If the connection is closed, the load balancer chooses a host of another data centre, which may reach the store or more
    // peers.
    const auto isUndetermined = refusal == Refusal::TurnUnknown || refusal == Refusal::BudgetUnknown;
    const auto isOtherHostBetter = refusal == Refusal::Isolated || refusal == Refusal::CutOff;
    m_keepAlive = m_keepAlive && !isOtherHostBetter && !(isUndetermined && m_context.servingContext.isIsolated());
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(http::obsolete_reason(static_cast<http::status>(status))));
    for (const auto& field : fields) {
        text += std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
    }
    const auto body = fmt::format(R"({{"error":"{}"}})", framework::nameOf(s_refusalNames, refusal));
    text += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    text += connectionField();
    co_await write(text + (m_isHeadRequest ? "" : body));
}

auto CallerConnection::formatHead(const framework::ResponseHead& head, std::string_view framing) -> std::string
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", head.status(), std::string(head.header().reason()));
    for (const auto& field : head.header()) {
        if (!isHopByHop(std::string_view(field.name_string().data(), field.name_string().size()))) {
            text += std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
        }
    }
    text += framing;
    return text.append(connectionField());
}

auto CallerConnection::connectionField() -> std::string_view
{
    if (m_keepAlive && m_context.servingContext.shutdown.hasBegun()) {
        // A caller does not read further responses after one with 'close', so a request that has already arrived is answered first.
        m_keepAlive = m_buffer.size() > 0 || hasPendingBytes(m_socket->native_handle());
    }
    return m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
}

auto CallerConnection::sendWhole(const framework::ResponseHead& head, std::string body) -> Async<bool>
{
    m_hasStarted = true;
    const auto text = formatHead(head, fmt::format("Content-Length: {}\r\n", body.size()));
    co_return co_await write(m_isHeadRequest ? text : text + body);
}

auto CallerConnection::beginStream(const framework::ResponseHead& head) -> Async<bool>
{
    m_pendingHead = formatHead(head, "Transfer-Encoding: chunked\r\n");
    co_return true;
}

auto CallerConnection::sendChunk(std::string_view bytes) -> Async<bool>
{
    m_hasStarted = true;
    auto text = std::exchange(m_pendingHead, {}) + fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
    co_return co_await write(std::move(text));
}

auto CallerConnection::endStream() -> Async<bool>
{
    co_return co_await write("0\r\n\r\n");
}

auto CallerConnection::abort() -> void
{
    m_keepAlive = false;
    m_isBroken = true;
    close();
}

auto CallerConnection::write(std::string text) -> Async<bool>
{
    auto error = boost::system::error_code();
    for (auto rest = asio::const_buffer(asio::buffer(text)); !error && rest.size() > 0;) {
        m_writingSince = m_context.servingContext.clock.now();
        rest += co_await m_socket->async_write_some(rest, asio::redirect_error(asio::use_awaitable, error));
    }
    m_writingSince.reset();
    if (error) {
        m_isBroken = true;
        m_context.servingContext.metrics.count("caller_writes_failed");
        framework::logEvent(framework::LogLevel::Info, "serving", "caller_write_failed",
                            {{"request", m_requestId}, {"reason", error.message()}, {"stalled", m_isStalled}});
    }
    co_return !error;
}

auto CallerConnection::close() -> void
{
    auto ignored = boost::system::error_code();
    m_timer.cancel();
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket->close(ignored);
}

} // namespace laburnummill::serving
