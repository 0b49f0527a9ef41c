#include "peers/askall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

struct Round
{
    asio::steady_timer done;
    Answers answers;
    int open = 0;
};

auto askOne(IPeers& peers, std::string address, messages::Request request, Milliseconds timeout, std::shared_ptr<Round> round,
            std::function<bool(const messages::Response&)> isEnough) -> Async<void>
{
    auto response = co_await peers.call(std::move(address), std::move(request), timeout);
    --round->open;
    auto isLast = round->open == 0;
    if (response) {
        isLast = isLast || isEnough(response.value());
        round->answers.responses.push_back(std::move(response.value()));
    } else {
        ++round->answers.failed;
    }
    if (isLast) {
        round->done.cancel();
    }
}

} // namespace

auto askAll(IPeers& peers, std::vector<std::string> addresses, messages::Request request, Milliseconds timeout,
            std::function<bool(const messages::Response&)> isEnough) -> Async<Answers>
{
    const auto executor = co_await asio::this_coro::executor;
    if (addresses.empty()) {
        co_return Answers{};
    }
    const auto round = std::make_shared<Round>(Round{.done = asio::steady_timer(executor), .answers = {}, .open = 0});
    round->open = static_cast<int>(addresses.size());
    round->done.expires_after(timeout * 2); // Each call ends by its own timeout before.
    for (auto& address : addresses) {
        asio::co_spawn(executor, askOne(peers, std::move(address), request, timeout, round, isEnough), asio::detached);
    }
    auto ignored = boost::system::error_code();
    co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return round->answers;
}

} // namespace laburnummill::peers
