#pragma once

#include "scheduling/internal/engineregistry.h"
#include "scheduling/ischeduler.h"

#include <memory>
#include <optional>

namespace laburnummill::scheduling {

/// A waiting call and the engine chosen for it.
struct Placement
{
    PermitKey key;
    EngineIndex engine = 0;
};

/// Orders waiting calls and chooses their engines. The later calls of a program are not known in advance.
class IPolicy
{
public:
    virtual ~IPolicy() = default;

    /// Adds a waiting call.
    virtual auto add(const ScheduledCall& call, framework::Instant now) -> void = 0;

    /// Removes a waiting call that was granted, refused or cancelled.
    virtual auto remove(const PermitKey& key) -> void = 0;

    /// The call to run next and an engine with a free slot for it. Returns nullopt if no call should start now.
    virtual auto choose(const EngineRegistry& engines, framework::Instant now) -> std::optional<Placement> = 0;

    /// The waiting call to refuse first when the queue is full. Returns nullopt if none waits.
    virtual auto firstToRefuse() const -> std::optional<PermitKey> = 0;

    /// Number of waiting calls that are expected to start before a new call of `account`.
    virtual auto callsAhead(const std::string& account) const -> std::size_t = 0;

    /// Called when a call starts on an engine.
    virtual auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void = 0;

    /// Called when a call has ended; `heldTime` is the time for which it held its permit.
    virtual auto ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, framework::Milliseconds heldTime) -> void = 0;

    /// Called when an engine reports that its cache holds `tokens` of `program`.
    virtual auto cacheChanged(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void = 0;

    /// Called when an engine's cache is empty after a restart.
    virtual auto cacheLost(EngineIndex engine) -> void = 0;

    /// Sets a client account's share relative to other accounts.
    virtual auto setWeight(const std::string& account, double weight) -> void = 0;
};

} // namespace laburnummill::scheduling
