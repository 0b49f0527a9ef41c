#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>

namespace laburnummill::framework {

/// Wakes all coroutines that wait for a change. Used within one executor.
class Signal
{
public:
    explicit Signal(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {}

    /// Returns at the next notify(), or after `timeout`.
    auto wait(Milliseconds timeout) -> Async<void>
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_executor, timeout);
        const auto place = m_waiting.insert(m_waiting.end(), timer);
        auto ignored = boost::system::error_code();
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waiting.erase(place);
    }

    auto notify() -> void
    {
        for (const auto& timer : m_waiting) {
            timer->cancel();
        }
    }

    auto waiting() const -> std::size_t { return m_waiting.size(); }

private:
    asio::any_io_executor m_executor;
    std::list<std::shared_ptr<asio::steady_timer>> m_waiting;
};

} // namespace laburnummill::framework
