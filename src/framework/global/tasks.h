#pragma once

#include "framework/global/async.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace laburnummill::framework {

/// Logs what a task or a handler has thrown, by the name of the work. Never throws.
auto reportFailure(std::string_view work, const std::exception_ptr& failure) noexcept -> void;

/// Number of failures reported since the start.
auto reportedFailures() noexcept -> std::uint64_t;

/// Starts work that nobody waits for: a coroutine, or a callable that returns one. What it throws is logged and ends this work only.
/// `name`: a literal.
template<class Executor, class Work>
auto spawnTask(Executor&& executor, std::string_view name, Work&& work) -> void
{
    asio::co_spawn(std::forward<Executor>(executor), std::forward<Work>(work), [name](const std::exception_ptr& failure) {
        if (failure) {
            reportFailure(name, failure);
        }
    });
}

/// Waits before work that has failed begins anew.
auto pauseAfterFailure() -> Async<void>;

/// Starts work that must go on for as long as the process does: `loop` returns a coroutine, and is called again a second after what that
/// has thrown. Work that returns has ended. `name`: a literal.
template<class Loop>
auto spawnLoop(const asio::any_io_executor& executor, std::string_view name, Loop loop) -> void
{
    const auto run = [name, loop]() -> Async<void> {
        while (true) {
            auto failure = std::exception_ptr();
            try {
                co_await loop();
            } catch (...) {
                failure = std::current_exception();
            }
            if (!failure) {
                co_return;
            }
            reportFailure(name, failure);
            co_await pauseAfterFailure();
        }
    };
    asio::co_spawn(executor, run, [executor, name, loop](const std::exception_ptr& failure) {
        if (failure) {
            reportFailure(name, failure);
            spawnLoop(executor, name, loop);
        }
    });
}

} // namespace laburnummill::framework
