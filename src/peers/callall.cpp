#include "peers/callall.h"

#include "framework/global/tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

struct PendingCalls
{
    asio::steady_timer done;
    CallResults results;
    int open = 0;
    bool isDone = false; ///< all have ended, or one has sufficed
};

auto callOne(IPeers& peers, std::string address, messages::Request request, Milliseconds timeout,
             std::shared_ptr<PendingCalls> pendingCalls, std::function<bool(const messages::Response&)> isEnough) -> Async<void>
{
    auto response = co_await peers.call(address, std::move(request), timeout);
    --pendingCalls->open;
    auto isLast = pendingCalls->open == 0;
    if (response) {
        response.value().set_address(address);
        isLast = isLast || isEnough(response.value());
        pendingCalls->results.responses.push_back(std::move(response.value()));
    } else {
        ++pendingCalls->results.failed;
    }
    if (isLast) {
        pendingCalls->isDone = true;
        pendingCalls->done.cancel();
    }
}

} // namespace

auto callAll(IPeers& peers, std::vector<std::string> addresses, messages::Request request, Milliseconds timeout,
             std::function<bool(const messages::Response&)> isEnough) -> Async<CallResults>
{
    const auto executor = co_await asio::this_coro::executor;
    if (addresses.empty()) {
        co_return CallResults{};
    }
    const auto pendingCalls =
        std::make_shared<PendingCalls>(PendingCalls{.done = asio::steady_timer(executor), .results = {}, .open = 0, .isDone = false});
    pendingCalls->open = static_cast<int>(addresses.size());
    pendingCalls->done.expires_at(asio::steady_timer::time_point::max()); // Each call ends by its own timeout, on a busy host later.
    for (auto& address : addresses) {
        framework::spawnTask(executor, "call_one", callOne(peers, std::move(address), request, timeout, pendingCalls, isEnough));
    }
    if (!pendingCalls->isDone) { // Calls may end at once.
        auto ignored = boost::system::error_code();
        co_await pendingCalls->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return pendingCalls->results;
}

} // namespace laburnummill::peers
