#include "programs/staggeredattempts.h"

#include "framework/global/signal.h"
#include "framework/global/tasks.h"

#include <algorithm>
#include <chrono>
#include <memory>

namespace laburnummill::programs {

namespace {

using framework::Async;
using framework::Milliseconds;

struct Attempts
{
    Attempts(framework::asio::any_io_executor executor, PartitionAttempt attempt)
        : changed(std::move(executor))
        , attempt(std::move(attempt))
    {}

    framework::Signal changed;
    PartitionAttempt attempt;
    std::size_t open = 0;
    bool hasSucceeded = false;
};

auto run(std::shared_ptr<Attempts> attempts, std::uint32_t partition) -> Async<void>
{
    const auto isDone = co_await attempts->attempt(partition);
    attempts->hasSucceeded = attempts->hasSucceeded || isDone;
    --attempts->open;
    attempts->changed.notify();
}

} // namespace

auto attemptInTurn(framework::asio::any_io_executor executor, std::vector<std::uint32_t> partitions, PartitionAttempt attempt,
                   Milliseconds stagger, Milliseconds timeout) -> Async<AttemptsResult>
{
    using Clock = std::chrono::steady_clock;
    const auto attempts = std::make_shared<Attempts>(executor, std::move(attempt));
    const auto until = Clock::now() + timeout;
    auto next = partitions.begin();
    while (!attempts->hasSucceeded && Clock::now() < until && (next != partitions.end() || attempts->open > 0)) {
        if (next == partitions.end()) {
            co_await attempts->changed.wait(std::chrono::ceil<Milliseconds>(until - Clock::now()));
            continue;
        }
        const auto openBefore = attempts->open++;
        framework::spawnTask(executor, "staggered_attempt", run(attempts, *next++));
        const auto nextAt = Clock::now() + stagger;
        while (!attempts->hasSucceeded && attempts->open > openBefore && Clock::now() < nextAt) {
            co_await attempts->changed.wait(std::chrono::ceil<Milliseconds>(nextAt - Clock::now()));
        }
    }
    co_return AttemptsResult{.hasSucceeded = attempts->hasSucceeded, .haveAllEnded = next == partitions.end() && attempts->open == 0};
}

} // namespace laburnummill::programs
