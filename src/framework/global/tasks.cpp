#include "framework/global/tasks.h"

#include "framework/logging/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace laburnummill::framework {

namespace {

constexpr auto s_failurePause = std::chrono::seconds(1);

auto failureCount() noexcept -> std::uint64_t&
{
    static auto count = std::uint64_t{0};
    return count;
}

} // namespace

auto reportFailure(std::string_view work, const std::exception_ptr& failure) noexcept -> void
{
    ++failureCount();
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        try {
            logEvent(LogLevel::Error, "framework", "task_failed", {{"task", work}, {"reason", error.what()}});
        } catch (...) { // NOLINT(bugprone-empty-catch): without memory for the line, the count remains.
        }
    } catch (...) { // NOLINT(bugprone-empty-catch): as above.
    }
}

auto reportedFailures() noexcept -> std::uint64_t
{
    return failureCount();
}

auto pauseAfterFailure() -> Async<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, s_failurePause);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace laburnummill::framework
