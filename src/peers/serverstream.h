#pragma once

#include "framework/global/async.h"
#include "peers/relayframes.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace laburnummill::peers {

/// How the end of what a backend server sends is told from a connection that was broken off.
enum class StreamEnd
{
    Connection, ///< a direct connection: it ends when the server ends it
    Mark,       ///< through another host, which marks the end
    Unknown,    ///< through a host of an earlier release: each end may be one between the hosts
};

/// A connection to a backend server, direct or through another host. Reads end with `eof` only if the server has ended the connection,
/// and with `connection_reset` if it was broken off on the way.
class ServerStream
{
public:
    using executor_type = framework::asio::ip::tcp::socket::executor_type;

    ServerStream(framework::asio::ip::tcp::socket socket, StreamEnd end)
        : m_socket(std::move(socket))
        , m_end(end)
    {}

    auto get_executor() -> executor_type { return m_socket.get_executor(); } // NOLINT(readability-identifier-naming)

    template<class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token) // NOLINT(readability-identifier-naming)
    {
        return framework::asio::async_compose<Token, void(boost::system::error_code, std::size_t)>(
            ReadOperation<Buffers>{.stream = *this, .buffers = buffers}, token, m_socket);
    }

    template<class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token) // NOLINT(readability-identifier-naming)
    {
        return m_socket.async_write_some(buffers, std::forward<Token>(token));
    }

    auto isOpen() const -> bool { return m_socket.is_open(); }
    auto close() -> void
    {
        auto ignored = boost::system::error_code();
        m_socket.close(ignored);
    }
    auto descriptor() -> int { return m_socket.native_handle(); }

    /// Whether bytes of the server have arrived that were not read.
    auto hasUnread() const -> bool { return m_frames.hasUnread() || m_frames.hasEnded(); }

private:
    template<class Buffers>
    struct ReadOperation
    {
        enum class Step
        {
            Start,
            Posted,
            Reading,
        };

        ServerStream& stream;
        Buffers buffers;
        Step step = Step::Start;

        template<class Self>
        auto operator()(Self& self, boost::system::error_code error = {}, std::size_t bytes = 0) -> void
        {
            const auto isFramed = stream.m_end == StreamEnd::Mark;
            if (step == Step::Reading && isFramed) {
                stream.m_frames.onReceived(bytes);
            } else if (step == Step::Reading) {
                return self.complete(stream.checked(error), bytes);
            }
            if (!isFramed) {
                step = Step::Reading;
                return stream.m_socket.async_read_some(buffers, std::move(self));
            }
            if (step == Step::Start && stream.hasUnread()) {
                step = Step::Posted; // An operation may not end before it has begun.
                return framework::asio::post(stream.get_executor(), std::move(self));
            }
            const auto taken = stream.take(buffers);
            if (taken > 0 || stream.m_frames.hasEnded() || error) {
                const auto atEnd = stream.m_frames.hasEnded() ? framework::asio::error::eof : stream.checked(error);
                return self.complete(taken > 0 ? boost::system::error_code() : atEnd, taken);
            }
            if (stream.m_frames.isInvalid()) {
                return self.complete(framework::asio::error::connection_reset, 0);
            }
            step = Step::Reading;
            const auto space = stream.m_frames.space();
            stream.m_socket.async_read_some(framework::asio::buffer(space.data(), space.size()), std::move(self));
        }
    };

    auto checked(boost::system::error_code error) const -> boost::system::error_code
    {
        const auto isBrokenOff = error == framework::asio::error::eof && m_end != StreamEnd::Connection;
        return isBrokenOff ? framework::asio::error::connection_reset : error;
    }

    template<class Buffers>
    auto take(const Buffers& buffers) -> std::size_t
    {
        auto taken = std::size_t{0};
        for (auto buffer = framework::asio::buffer_sequence_begin(buffers); buffer != framework::asio::buffer_sequence_end(buffers);
             ++buffer) {
            const auto target = framework::asio::mutable_buffer(*buffer);
            const auto bytes = m_frames.take({static_cast<char*>(target.data()), target.size()});
            taken += bytes;
            if (bytes < target.size()) {
                break;
            }
        }
        return taken;
    }

    framework::asio::ip::tcp::socket m_socket;
    StreamEnd m_end;
    RelayFrameReader m_frames;
};

} // namespace laburnummill::peers
