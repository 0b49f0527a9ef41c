#pragma once

#include "scheduling/internal/engineregistry.h"
#include "scheduling/ischeduler.h"

#include <memory>
#include <optional>

namespace laburnummill::scheduling {

/// A waiting call and the engine that it goes to.
struct Placement
{
    PermitKey key;
    EngineIndex engine = 0;
};

/// Orders waiting calls and places them. Knows of a program only what has happened so far.
class IPolicy
{
public:
    virtual ~IPolicy() = default;

    /// A call begins to wait.
    virtual auto add(const ScheduledCall& call, framework::Instant now) -> void = 0;

    /// A call waits no more: granted, refused or cancelled.
    virtual auto remove(const PermitKey& key) -> void = 0;

    /// The call that is to run next and its engine, which has a free slot; nothing where none should start now.
    virtual auto choose(const EngineRegistry& engines, framework::Instant now) -> std::optional<Placement> = 0;

    /// The waiting call that is refused first when too many wait.
    virtual auto firstToRefuse() const -> std::optional<PermitKey> = 0;

    /// Calls that are expected to start before a new one of `account`.
    virtual auto callsAhead(const std::string& account) const -> std::size_t = 0;

    /// A call starts on an engine.
    virtual auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void = 0;

    /// A call has ended; `heldTime` is how long it had its permit.
    virtual auto ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, framework::Milliseconds heldTime) -> void = 0;

    /// An engine has told of its cache: it holds `tokens` of `program`.
    virtual auto cacheChanged(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void = 0;

    /// An engine holds nothing any more: it restarted.
    virtual auto cacheLost(EngineIndex engine) -> void = 0;

    /// A client account's share relative to others.
    virtual auto setWeight(const std::string& account, double weight) -> void = 0;
};

} // namespace laburnummill::scheduling
