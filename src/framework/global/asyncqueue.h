#pragma once

#include "framework/global/async.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <optional>

namespace laburnummill::framework {

/// A queue within one executor: one task pushes, another awaits. Ended or failed by its producer.
template<class T>
class AsyncQueue
{
public:
    explicit AsyncQueue(const asio::any_io_executor& executor)
        : m_wakeUp(executor, asio::steady_timer::time_point::max())
    {}

    auto push(T value) -> void
    {
        if (m_ended || m_error) {
            return;
        }
        m_values.push_back(std::move(value));
        m_wakeUp.cancel();
    }

    /// No further values; the reader gets what is queued and then nothing.
    auto end() -> void
    {
        m_ended = true;
        m_wakeUp.cancel();
    }

    /// The reader gets what is queued and then `error`.
    auto fail(std::error_code error) -> void
    {
        if (!m_ended && !m_error) {
            m_error = error;
        }
        m_wakeUp.cancel();
    }

    auto finished() const -> bool { return m_ended || m_error; }
    auto size() const -> std::size_t { return m_values.size(); }

    /// The next value; nothing at the end.
    auto pop() -> AsyncResult<std::optional<T>>
    {
        while (m_values.empty()) {
            if (m_error) {
                co_return m_error;
            }
            if (m_ended) {
                co_return std::nullopt;
            }
            auto ignored = boost::system::error_code();
            co_await m_wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto value = std::move(m_values.front());
        m_values.pop_front();
        co_return std::optional<T>(std::move(value));
    }

private:
    std::deque<T> m_values;
    std::error_code m_error;
    bool m_ended = false;
    asio::steady_timer m_wakeUp;
};

/// Suspends the calling task for `time`.
inline auto sleepFor(std::chrono::steady_clock::duration time) -> Async<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, time);
    auto ignored = boost::system::error_code();
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace laburnummill::framework
