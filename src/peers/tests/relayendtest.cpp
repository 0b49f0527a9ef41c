#include "peers/relay.h"
#include "peers/serverstream.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>

using namespace laburnummill::peers;
namespace asio = boost::asio;
using laburnummill::framework::Async;
using tcp = asio::ip::tcp;

TEST_GROUP(RelayFrames)
{
    RelayFrameReader reader;

    auto feed(std::string_view bytes)->void
    {
        for (const auto byte : bytes) { // The worst division of the bytes among reads.
            reader.space().front() = byte;
            reader.onReceived(1);
        }
    }

    static auto frame(const std::string& payload)->std::string
    {
        const auto header = relayFrameHeader(payload.size());
        return std::string(header.begin(), header.end()) + payload;
    }

    auto take(std::size_t bytes)->std::string
    {
        auto text = std::string(bytes, '\0');
        text.resize(reader.take(text));
        return text;
    }
};

TEST(RelayFrames, joinsThePayloadOfFramesThatArriveInPieces)
{
    feed(frame("data: a\n").substr(0, 6));
    CHECK_EQUAL(std::string("da"), take(100));
    CHECK_TRUE(reader.hasUnread());
    feed(frame("data: a\n").substr(6));
    feed(frame("data: b\n"));
    CHECK_EQUAL(std::string("ta: a\ndata"), take(10));
    CHECK_EQUAL(std::string(": b\n"), take(100));
    CHECK_FALSE(reader.hasUnread());
    CHECK_FALSE(reader.hasEnded());
}

TEST(RelayFrames, endWithTheirMarkOnly)
{
    feed(frame("data: a\n") + frame({}));
    CHECK_EQUAL(std::string("data: a\n"), take(100));
    CHECK_EQUAL(std::string(), take(100));
    CHECK_TRUE(reader.hasEnded());
}

TEST(RelayFrames, rejectALengthThatNoHostSends)
{
    feed("HTTP/1.1 200 OK\r\n");
    CHECK_EQUAL(std::string(), take(100));
    CHECK_TRUE(reader.isInvalid());
}

/// A host in between passes on what a server sends.
TEST_GROUP(RelayEnd)
{
    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::string received;
    boost::system::error_code end;

    struct Pair
    {
        SocketPtr near;
        SocketPtr far;
    };

    auto pair()->Pair
    {
        auto sockets = Pair{.near = std::make_shared<tcp::socket>(context), .far = std::make_shared<tcp::socket>(context)};
        sockets.near->connect(acceptor.local_endpoint());
        acceptor.accept(*sockets.far);
        return sockets;
    }

    auto read(SocketPtr socket, StreamEnd kind)->void
    {
        asio::co_spawn(
            context,
            [this, socket, kind]() -> Async<void> {
                auto stream = ServerStream(std::move(*socket), kind);
                while (!end) {
                    auto bytes = std::array<char, 5>();
                    const auto size = co_await stream.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, end));
                    received.append(bytes.data(), size);
                }
            },
            asio::detached);
    }

    /// The server sends two pieces; then `finish` is called with its socket and the host's one to the caller's host.
    template<class Finish>
    auto pass(bool isFramed, StreamEnd kind, Finish finish)->void
    {
        auto hosts = pair();
        auto server = pair();
        read(hosts.near, kind);
        asio::co_spawn(context, relay(hosts.far, server.near, isFramed), asio::detached);
        for (const auto* piece : {"data: one\n\n", "data: two\n\n"}) {
            asio::write(*server.far, asio::buffer(std::string_view(piece)));
            context.run_for(std::chrono::milliseconds(50));
        }
        CHECK_EQUAL(std::string("data: one\n\ndata: two\n\n"), received);
        finish(*server.far, *hosts.far);
        context.run_for(std::chrono::milliseconds(200));
    }
};

/// Guards against an answer without a length that ends as complete because the host in between was killed.
TEST(RelayEnd, isNotTakenForTheEndOfTheAnswerIfTheHostInBetweenEnds)
{
    pass(true, StreamEnd::Mark, [](tcp::socket&, tcp::socket& host) { host.shutdown(tcp::socket::shutdown_send); });
    CHECK_TRUE(end == asio::error::connection_reset);
}

TEST(RelayEnd, isPassedOnIfTheServerEnds)
{
    pass(true, StreamEnd::Mark, [](tcp::socket& server, tcp::socket&) { server.close(); });
    CHECK_TRUE(end == asio::error::eof);
}

TEST(RelayEnd, isPassedOnIfItArrivesWithTheLastBytes)
{
    auto hosts = pair();
    const auto last = relayFrameHeader(8);
    const auto mark = relayFrameHeader(0);
    asio::write(*hosts.far, std::array{asio::const_buffer(asio::buffer(last)), asio::const_buffer("data: a\n", 8),
                                       asio::const_buffer(asio::buffer(mark))});
    read(hosts.near, StreamEnd::Mark);
    context.run_for(std::chrono::milliseconds(50));
    CHECK_EQUAL(std::string("data: a\n"), received);
    CHECK_TRUE(end == asio::error::eof);
}

TEST(RelayEnd, isABreakIfTheServersConnectionIsReset)
{
    pass(true, StreamEnd::Mark, [](tcp::socket& server, tcp::socket&) {
        server.set_option(asio::socket_base::linger(true, 0));
        server.close();
    });
    CHECK_TRUE(end == asio::error::connection_reset);
}

TEST(RelayEnd, isUnknownThroughAHostOfAnEarlierRelease)
{
    pass(false, StreamEnd::Unknown, [](tcp::socket& server, tcp::socket&) { server.close(); });
    CHECK_TRUE(end == asio::error::connection_reset);
}
