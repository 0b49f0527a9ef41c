#pragma once

#include "framework/global/async.h"
#include "platform/internal/embeddedplatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace laburnummill::testing {

/// A table service in memory whose faults a test sets.
class FaultyTables final : public platform::ITableService
{
public:
    bool down = false;                             ///< surely without effect
    int loseAnswers = 0;                           ///< so many writes take effect and their answers are lost
    int loseRequests = 0;                          ///< so many writes are lost on the way, to the same error
    std::function<void()> beforeWrite;             ///< called once, before the next write
    std::optional<platform::EmbeddedPlatform> old; ///< reads see this state

    auto read(std::vector<platform::RowKey> keys) -> framework::AsyncResult<std::vector<std::optional<platform::Row>>> override
    {
        if (down) {
            co_return platform::PlatformError::Unavailable;
        }
        ++reads;
        auto& source = old ? *old : platform;
        co_return co_await source.read(std::move(keys));
    }

    auto transact(std::vector<platform::RowChange> changes) -> framework::AsyncResult<std::vector<std::uint64_t>> override
    {
        if (down) {
            co_return platform::PlatformError::Unavailable;
        }
        if (const auto hook = std::exchange(beforeWrite, nullptr)) {
            hook();
        }
        if (loseRequests > 0) {
            --loseRequests;
            co_return platform::PlatformError::OutcomeUnknown;
        }
        auto versions = platform.transactNow(changes);
        if (versions && loseAnswers > 0) {
            --loseAnswers;
            co_return platform::PlatformError::OutcomeUnknown;
        }
        co_return versions;
    }

    auto scan(platform::ScanRequest request) -> framework::AsyncResult<std::vector<platform::Row>> override
    {
        co_return platform.scanNow(request);
    }

    platform::EmbeddedPlatform platform;
    int reads = 0;
};

/// Runs `operation` to its end.
template<class T>
auto runToEnd(framework::Async<T> operation) -> T
{
    auto context = framework::asio::io_context();
    auto outcome = std::optional<T>();
    framework::asio::co_spawn(
        context, [&]() -> framework::Async<void> { outcome.emplace(co_await std::move(operation)); }, framework::asio::detached);
    context.run();
    return std::move(*outcome);
}

inline auto runToEnd(framework::Async<void> operation) -> void
{
    auto context = framework::asio::io_context();
    framework::asio::co_spawn(context, std::move(operation), framework::asio::detached);
    context.run();
}

} // namespace laburnummill::testing
