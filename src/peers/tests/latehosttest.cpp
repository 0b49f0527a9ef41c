#include "peers/relay.h"

#include "peers/peerlink.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace laburnummill::peers;
namespace asio = boost::asio;
using laburnummill::framework::Async;
using laburnummill::framework::Cancellation;
using laburnummill::framework::Milliseconds;

/// A host that handles events late and waits for another one, which answers at once.
TEST_GROUP(LateHost)
{
    asio::io_context context;
    asio::io_context otherContext;
    asio::ip::tcp::acceptor acceptor{otherContext, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    asio::ip::tcp::socket accepted{otherContext};

    /// Handles events until `isReached`.
    auto runUntil(const std::function<bool()>& isReached)->void
    {
        while (!isReached()) {
            context.run_one_for(Milliseconds(10));
        }
    }

    /// The other host accepts the connection.
    auto accept()->void
    {
        acceptor.non_blocking(true);
        runUntil([this] {
            auto error = boost::system::error_code();
            acceptor.accept(accepted, error);
            return !error;
        });
        for (auto turn = 0; turn < 3; ++turn) {
            context.run_one_for(Milliseconds(10));
        }
    }

    /// The other host answers in time, while this one handles no event.
    auto answerUnseen()->void
    {
        auto bytes = std::array<char, 4>();
        asio::read(accepted, asio::buffer(bytes));
        auto response = messages::Response();
        response.set_id(1);
        response.set_is_relayed(true);
        asio::write(accepted, asio::buffer(encodeFrame(response)));
        std::this_thread::sleep_for(Milliseconds(150));
    }
};

// Guards against connections to servers that were closed because a timer had expired, on a host short of processor time, when what it
// waited for had happened.
TEST(LateHost, keepsAConnectionThatAnotherHostHasOpenedInTime)
{
    auto socket = SocketPtr();
    auto hasEnded = false;
    asio::co_spawn(
        context,
        [&]() -> Async<void> {
            const auto relayed = co_await openRelay(context.get_executor(), acceptor.local_endpoint(), messages::RelayQuery(),
                                                    Milliseconds(100), std::make_shared<Cancellation>());
            socket = relayed.socket;
            hasEnded = true;
        },
        asio::detached);
    accept();
    answerUnseen();
    runUntil([&] { return hasEnded; });
    context.run_for(Milliseconds(50));
    CHECK_TRUE(socket != nullptr);
    CHECK_TRUE(socket->is_open());
}

// Guards against hosts short of processor time that took others for unreachable, and the homes of programs that moved with that.
TEST(LateHost, takesNoHostForSilentThatHasAnsweredInTime)
{
    auto memory = laburnummill::scheduling::BufferMemory(0);
    const auto link = std::make_shared<PeerLink>(context.get_executor(), acceptor.local_endpoint(), memory);
    auto isAnswered = false;
    auto hasEnded = false;
    asio::co_spawn(
        context,
        [&]() -> Async<void> {
            isAnswered = static_cast<bool>(co_await link->call(messages::Request(), Milliseconds(100)));
            hasEnded = true;
        },
        asio::detached);
    accept();
    answerUnseen();
    runUntil([&] { return hasEnded; });
    CHECK_TRUE(isAnswered);
    accepted.close();
    context.run_for(Milliseconds(50));
}
