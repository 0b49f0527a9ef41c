#include "serving/requestreader.h"

#include "framework/global/timelimit.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

/// Bodies of more bytes are read only once their caller is known.
constexpr auto s_largeBody = std::size_t{64 * 1024};

/// Part of a connection's own memory, for which the number of connections is limited: usual requests are read however much others take.
constexpr auto s_uncountedBytes = std::size_t{4 * 1024};

constexpr auto s_framingAllowance = std::size_t{32 * 1024};

/// For the rest of a large body: larger blocks take fewer calls.
constexpr auto s_bodyBlock = std::size_t{16 * 1024};

/// Time for which a caller whose request is not read may go on sending before the connection is closed.
constexpr auto s_discardTime = Milliseconds(500);

auto cancelling(const RequestReader::SocketPtr& socket) -> std::function<void()>
{
    return [weak = std::weak_ptr(socket)] {
        if (const auto found = weak.lock()) {
            auto ignored = boost::system::error_code();
            found->cancel(ignored);
        }
    };
}

/// Whether the end of the body can be told. The parser reads a coding that does not end with "chunked" as no body, so that the body would
/// be taken for the next request (RFC 9112, 6.3). Other codings before it are not undone here, and the body would be passed on without
/// its coding.
auto isFramingKnown(const http::request_header<>& head) -> bool
{
    const auto codings = head.count(http::field::transfer_encoding);
    if (codings == 0) {
        return true;
    }
    const auto isChunked = codings == 1 && boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
    return isChunked && head.version() >= 11 && head.count(http::field::content_length) == 0;
}

} // namespace

auto requestBufferLimit(const routing::CallerLimits& limits) -> std::size_t
{
    return limits.headerBytes + s_framingAllowance;
}

RequestReader::RequestReader(SocketPtr socket, boost::beast::flat_buffer& buffer, const routing::CallerLimits& limits,
                             scheduling::BufferMemory::Share& memory)
    : m_socket(std::move(socket))
    , m_buffer(buffer)
    , m_limits(limits)
    , m_memory(memory)
{
    m_parser.header_limit(limits.headerBytes);
    m_parser.body_limit(limits.bodyBytes);
    m_buffer.max_size(std::max(m_buffer.size(), requestBufferLimit(limits)));
}

auto RequestReader::charge(std::size_t expected) -> bool
{
    const auto bytes = m_buffer.capacity() + std::max(expected, m_parser.get().body().capacity());
    return m_memory.resize(bytes - std::min(bytes, s_uncountedBytes));
}

template<class Condition>
auto RequestReader::readUntil(Condition isEnough, std::chrono::steady_clock::time_point deadline) -> Async<boost::system::error_code>
{
    const auto timeout = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto limit = framework::TimeLimit(m_socket->get_executor(), timeout, cancelling(m_socket));
    auto error = boost::system::error_code();
    while (!error && !isEnough()) {
        co_await http::async_read_some(*m_socket, m_buffer, m_parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error && !charge(0)) {
            error = make_error_code(boost::system::errc::not_enough_memory);
        }
    }
    co_return error;
}

auto RequestReader::readHead() -> Async<boost::system::error_code>
{
    m_parser.eager(false);
    const auto error =
        co_await readUntil([this] { return m_parser.is_header_done(); }, std::chrono::steady_clock::now() + m_limits.headerTimeout);
    if (!error && !isFramingKnown(m_parser.get().base())) {
        co_return make_error_code(http::error::bad_transfer_encoding);
    }
    co_return error;
}

auto RequestReader::readSmallBody() -> Async<boost::system::error_code>
{
    m_bodyDeadline = std::chrono::steady_clock::now() + m_limits.idleTimeout;
    m_parser.eager(true);
    if (m_parser.content_length().value_or(0) > s_largeBody) {
        co_return boost::system::error_code();
    }
    co_return co_await readUntil([this] { return m_parser.is_done() || m_parser.get().body().size() > s_largeBody; }, m_bodyDeadline);
}

auto RequestReader::readBody() -> Async<boost::system::error_code>
{
    const auto length = m_parser.content_length().value_or(0);
    if (!charge(static_cast<std::size_t>(length))) {
        co_return make_error_code(boost::system::errc::not_enough_memory);
    }
    m_buffer.reserve(std::min(s_bodyBlock, m_buffer.max_size()));
    co_return co_await readUntil([this] { return m_parser.is_done(); }, m_bodyDeadline);
}

auto RequestReader::discardRest() -> Async<void>
{
    auto error = boost::system::error_code();
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_send, error);
    const auto limit = framework::TimeLimit(m_socket->get_executor(), s_discardTime, cancelling(m_socket));
    auto block = std::array<char, 4'096>();
    error = {};
    for (auto rest = m_limits.bodyBytes; !error && rest > 0; rest -= std::min<std::uint64_t>(rest, block.size())) {
        co_await m_socket->async_read_some(asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace laburnummill::serving
