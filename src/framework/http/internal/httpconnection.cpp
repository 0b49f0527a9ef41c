#include "framework/http/internal/httpconnection.h"

#include <boost/asio/buffer.hpp>

#include <sys/socket.h>

namespace laburnummill::framework {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto s_handshakeTimeout = Milliseconds(5'000);

auto toRequest(const http::request<http::string_body>& message) -> HttpRequest
{
    auto request = HttpRequest();
    request.method = std::string(message.method_string());
    const auto target = std::string_view(message.target().data(), message.target().size());
    const auto mark = target.find('?');
    request.path = std::string(target.substr(0, mark));
    if (mark != std::string_view::npos) {
        request.query = std::string(target.substr(mark + 1));
    }
    for (const auto& field : message) {
        request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = message.body();
    return request;
}

template<class Message>
auto setHeaders(Message& message, const Headers& headers) -> void
{
    for (const auto& [name, value] : headers) {
        message.set(name, value);
    }
}

auto readError(const boost::system::error_code& error) -> std::error_code
{
    if (error == beast::error::timeout) {
        return HttpError::TimedOut;
    }
    if (error == http::error::body_limit || error == http::error::header_limit) {
        return HttpError::BodyTooLarge;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return HttpError::ConnectionLost;
    }
    return error.category() == http::make_error_code(http::error::end_of_stream).category() ? HttpError::Malformed
                                                                                            : HttpError::ConnectionLost;
}

auto isClosedByPeer(int descriptor) -> bool
{
    auto byte = char{0};
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto closeStreams(const std::set<beast::tcp_stream*>& streams) -> void
{
    const auto copy = streams;
    for (auto* stream : copy) {
        auto ignored = boost::system::error_code();
        stream->socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        stream->cancel();
    }
}

} // namespace

auto HttpConnectionShared::closeIdle() -> void
{
    stopping = true;
    closeStreams(idle);
}

auto HttpConnectionShared::closeAll() -> void
{
    closeStreams(busy);
}

template<class Stream>
HttpConnection<Stream>::HttpConnection(Stream stream, HttpConnectionShared& shared)
    : m_stream(std::move(stream))
    , m_shared(shared)
{
    ++m_shared.connections;
}

template<class Stream>
HttpConnection<Stream>::~HttpConnection()
{
    --m_shared.connections;
    m_shared.idle.erase(&lowest());
    m_shared.busy.erase(&lowest());
}

template<class Stream>
auto HttpConnection<Stream>::handshake() -> Async<bool>
{
    if constexpr (!std::is_same_v<Stream, beast::tcp_stream>) {
        lowest().expires_after(s_handshakeTimeout);
        auto error = boost::system::error_code();
        co_await m_stream.async_handshake(asio::ssl::stream_base::server, asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }
    co_return true;
}

template<class Stream>
auto HttpConnection<Stream>::readRequest(Parser& parser) -> AsyncResult<void>
{
    parser.header_limit(static_cast<std::uint32_t>(m_shared.limits.headerBytes));
    parser.body_limit(m_shared.limits.bodyBytes);
    auto error = boost::system::error_code();
    if (m_buffer.size() == 0) {
        lowest().expires_after(m_shared.limits.idleTimeout);
        m_shared.idle.insert(&lowest());
        const auto received = co_await m_stream.async_read_some(m_buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
        m_shared.idle.erase(&lowest());
        m_buffer.commit(received);
        if (error) {
            co_return HttpError::ConnectionLost;
        }
    }
    lowest().expires_after(m_shared.limits.receiveTimeout);
    co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return readError(error);
    }
    co_return success();
}

template<class Stream>
auto HttpConnection<Stream>::run() -> Async<void>
{
    while (m_keepAlive && !m_shared.stopping) {
        auto parser = Parser();
        const auto read = co_await readRequest(parser);
        if (!read) {
            if (read.error() != HttpError::ConnectionLost) {
                co_await reject(read.error());
            }
            break;
        }
        m_keepAlive = parser.get().keep_alive();
        ++m_shared.running;
        m_shared.busy.insert(&lowest());
        co_await serveOne(parser.get());
        m_shared.busy.erase(&lowest());
        --m_shared.running;
    }
    co_await close();
}

template<class Stream>
auto HttpConnection<Stream>::serveOne(const Parser::value_type& message) -> Async<void>
{
    m_begun = false;
    m_finished = false;
    lowest().expires_never();
    startWatching();
    const auto request = toRequest(message);
    co_await m_shared.handler.handle(request, *this);
    m_watch->active = false;
    m_hangUpHandler = nullptr;
    lowest().socket().cancel();
    m_keepAlive = m_keepAlive && m_finished;
}

template<class Stream>
auto HttpConnection<Stream>::reject(std::error_code error) -> Async<void>
{
    m_keepAlive = false;
    (void)co_await respond(m_shared.handler.rejection(error));
}

template<class Stream>
auto HttpConnection<Stream>::startWatching() -> void
{
    m_watch = std::make_shared<Watch>();
    lowest().socket().async_wait(asio::ip::tcp::socket::wait_read, [this, watch = m_watch](const boost::system::error_code& error) {
        if (!watch->active || error || !isClosedByPeer(lowest().socket().native_handle())) {
            return;
        }
        if (const auto handler = m_hangUpHandler) {
            handler();
        }
    });
}

template<class Stream>
auto HttpConnection<Stream>::writeResult(boost::system::error_code error) -> Result<void>
{
    lowest().expires_never();
    if (!error) {
        return success();
    }
    m_keepAlive = false;
    return error == beast::error::timeout ? HttpError::TimedOut : HttpError::CallerGone;
}

template<class Stream>
auto HttpConnection<Stream>::respond(HttpResponse response) -> AsyncResult<void>
{
    auto message = http::response<http::string_body>(static_cast<http::status>(response.status), 11);
    setHeaders(message, response.headers);
    message.keep_alive(m_keepAlive && !m_shared.stopping);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_begun = true;
    auto error = boost::system::error_code();
    lowest().expires_after(m_shared.limits.sendTimeout);
    co_await http::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    m_finished = !error;
    co_return writeResult(error);
}

template<class Stream>
auto HttpConnection<Stream>::beginStream(unsigned status, Headers headers) -> AsyncResult<void>
{
    auto message = http::response<http::empty_body>(static_cast<http::status>(status), 11);
    setHeaders(message, headers);
    message.keep_alive(m_keepAlive && !m_shared.stopping);
    message.chunked(true);
    m_begun = true;
    auto serializer = http::response_serializer<http::empty_body>(message);
    auto error = boost::system::error_code();
    lowest().expires_after(m_shared.limits.sendTimeout);
    co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return writeResult(error);
}

template<class Stream>
auto HttpConnection<Stream>::writeChunk(std::string chunk) -> AsyncResult<void>
{
    if (chunk.empty()) {
        co_return success();
    }
    auto error = boost::system::error_code();
    lowest().expires_after(m_shared.limits.sendTimeout);
    co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), asio::redirect_error(asio::use_awaitable, error));
    co_return writeResult(error);
}

template<class Stream>
auto HttpConnection<Stream>::endStream() -> AsyncResult<void>
{
    auto error = boost::system::error_code();
    lowest().expires_after(m_shared.limits.sendTimeout);
    co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
    m_finished = !error;
    co_return writeResult(error);
}

template<class Stream>
auto HttpConnection<Stream>::close() -> Async<void>
{
    auto ignored = boost::system::error_code();
    if constexpr (!std::is_same_v<Stream, beast::tcp_stream>) {
        lowest().expires_after(s_handshakeTimeout);
        co_await m_stream.async_shutdown(asio::redirect_error(asio::use_awaitable, ignored));
    }
    lowest().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_return;
}

template class HttpConnection<beast::tcp_stream>;
template class HttpConnection<beast::ssl_stream<beast::tcp_stream>>;

} // namespace laburnummill::framework
