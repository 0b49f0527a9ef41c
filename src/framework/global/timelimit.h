#pragma once

#include "framework/global/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace laburnummill::framework {

/// A timer that is later than this tells that the host handles its events late, and that what it waits for may have happened.
inline constexpr auto s_lateTimer = Milliseconds(20);

/// Runs an action when a time is over, unless it ends before. On a host that handles its events late, the time is extended once, so that
/// what has happened in time counts first.
class TimeLimit
{
public:
    TimeLimit(const boost::asio::any_io_executor& executor, Milliseconds time, std::function<void()> onOver)
        : m_state(
              std::make_shared<State>(State{.timer = boost::asio::steady_timer(executor, time), .time = time, .onOver = std::move(onOver)}))
    {
        arm(m_state);
    }

    TimeLimit(const TimeLimit&) = delete;
    TimeLimit(TimeLimit&&) = delete;
    auto operator=(const TimeLimit&) -> TimeLimit& = delete;
    auto operator=(TimeLimit&&) -> TimeLimit& = delete;
    ~TimeLimit() { end(); }

    auto end() -> void
    {
        m_state->hasEnded = true; // A timer that has expired cannot be cancelled any more, although its handler has not run.
        m_state->timer.cancel();
    }

private:
    struct State
    {
        boost::asio::steady_timer timer;
        Milliseconds time;
        std::function<void()> onOver;
        bool hasEnded = false;
        bool isExtended = false;
    };

    static auto arm(const std::shared_ptr<State>& state) -> void
    {
        state->timer.async_wait([state](const boost::system::error_code& error) {
            if (error || state->hasEnded) {
                return;
            }
            const auto late = std::chrono::steady_clock::now() - state->timer.expiry();
            if (late > s_lateTimer && !std::exchange(state->isExtended, true)) {
                state->timer.expires_after(std::min<std::chrono::steady_clock::duration>(late, state->time));
                arm(state);
                return;
            }
            state->onOver();
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace laburnummill::framework
