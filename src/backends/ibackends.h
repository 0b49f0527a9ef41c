#pragma once

#include "backends/backenderrors.h"
#include "backends/backendtypes.h"
#include "framework/global/cancellation.h"

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnummill::backends {

using BackendOutcome = std::variant<BackendAnswer, BackendFailure>;

/// An engine's load report. It can be out of date when it arrives.
struct EngineLoad
{
    std::string startId;       ///< changes when the engine restarts
    std::uint32_t running = 0; ///< requests in the engine's batch
    std::uint32_t waiting = 0;
    bool cold = false;
    std::vector<std::string> models;
    std::vector<std::string> programs; ///< programs whose prompts are in the engine's cache
};

/// One change of an engine's prompt cache. The engine numbers its events without gaps; they can arrive late or be lost.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::string program;
    std::uint64_t tokens = 0; ///< tokens of the program in the cache after the change; 0: evicted
};

/// Sends requests and commands to back ends.
class IBackends
{
public:
    static constexpr std::string_view s_serviceName = "backends.client";

    virtual ~IBackends() = default;

    /// Runs a request on a model engine; pieces of the response go to `sink` as they arrive.
    virtual auto generate(BackendRequest request, IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<BackendOutcome> = 0;

    /// Runs a request on a plain service.
    virtual auto call(BackendRequest request) -> framework::Async<BackendOutcome> = 0;

    /// Reads the engine's load report.
    virtual auto load(const framework::Endpoint& engine) -> framework::AsyncResult<EngineLoad> = 0;

    /// Reads the cache events with numbers above `sequence`.
    virtual auto cacheEvents(const framework::Endpoint& engine, std::uint64_t sequence)
        -> framework::AsyncResult<std::vector<CacheEvent>> = 0;

    /// Commands an engine to evict the prompts of `program` from its cache.
    virtual auto release(const framework::Endpoint& engine, std::string program, std::uint64_t fencing) -> framework::AsyncResult<void> = 0;

    /// Commands an engine to load `model`. Fails with RefusedStale if the engine has seen a higher fencing number.
    virtual auto loadModel(const framework::Endpoint& engine, std::string model, std::uint64_t fencing) -> framework::AsyncResult<void> = 0;
};

} // namespace laburnummill::backends
