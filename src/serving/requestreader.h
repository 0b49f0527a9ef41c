#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "routing/routingtypes.h"
#include "scheduling/buffermemory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace laburnummill::serving {

namespace http = boost::beast::http;

/// Reads one request of a caller within limits of size, time and memory. What it buffers is charged to a share. A request that exceeds the
/// memory ends with `not_enough_memory`.
class RequestReader
{
public:
    using Parser = http::request_parser<http::string_body>;
    using SocketPtr = std::shared_ptr<framework::asio::ip::tcp::socket>;

    RequestReader(SocketPtr socket, boost::beast::flat_buffer& buffer, const routing::CallerLimits& limits,
                  scheduling::BufferMemory::Share& memory);

    /// Reads the header, and what follows it immediately. Fails with `bad_transfer_encoding` if the end of the body cannot be told.
    auto readHead() -> framework::Async<boost::system::error_code>;

    /// Reads a body that is not large; of a large one of no stated length what makes it so. The caller should be known before readBody().
    auto readSmallBody() -> framework::Async<boost::system::error_code>;

    /// Takes the memory for a body of a stated length, then reads the rest of the body.
    auto readBody() -> framework::Async<boost::system::error_code>;

    /// Reads and drops what the caller still sends, for a limited time and up to the size of a body: closing a socket with unread bytes
    /// would reset the connection, and the caller might lose the response.
    auto discardRest() -> framework::Async<void>;

    auto parser() -> Parser& { return m_parser; }
    auto isWhole() const -> bool { return m_parser.is_done(); }

private:
    /// Reads until `isEnough`.
    template<class Condition>
    auto readUntil(Condition isEnough, std::chrono::steady_clock::time_point deadline) -> framework::Async<boost::system::error_code>;
    /// Charges what is buffered now, and `expected` bytes of body.
    auto charge(std::size_t expected) -> bool;

    SocketPtr m_socket;
    boost::beast::flat_buffer& m_buffer;
    routing::CallerLimits m_limits;
    scheduling::BufferMemory::Share& m_memory;
    Parser m_parser;
    std::chrono::steady_clock::time_point m_bodyDeadline;
};

/// Exceeds a request's header by what may follow it at once, and any line of the framing of its body.
auto requestBufferLimit(const routing::CallerLimits& limits) -> std::size_t;

} // namespace laburnummill::serving
