#pragma once

#include "framework/global/time.h"
#include "scheduling/schedulingerrors.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace laburnummill::scheduling {

/// Identifies a call and its permit. Chosen by the executor, so that it stays valid when the dispatcher changes.
struct PermitKey
{
    std::uint64_t holder = 0; ///< the executor: hash of its host and incarnation
    std::uint64_t number = 0;

    auto operator<=>(const PermitKey&) const = default;
};

struct PermitKeyHash
{
    auto operator()(const PermitKey& key) const -> std::size_t { return key.holder ^ (key.number * 0x9E3779B97F4A7C15ULL); }
};

/// A call that requests a permit or has one.
struct ScheduledCall
{
    PermitKey key;
    std::string account;
    std::string program; ///< empty if the call belongs to no program
    std::string root;    ///< the program that a sub-agent works for; empty if `program` is not a sub-agent
    std::string model;   ///< empty: any
    std::uint64_t promptTokens = 0;
    framework::Instant deadline;
    bool isOverflow = false; ///< redirected by another data centre's dispatcher; not redirected again
};

/// An open permit. Its executor reports it to a new dispatcher.
struct OpenPermit
{
    ScheduledCall call;
    std::string engine;
    std::string startId; ///< the engine's incarnation at the time of the grant
    bool warm = false;   ///< whether the engine was warm at the time of the grant
};

/// An engine's configuration.
struct EngineSpec
{
    std::string name;
    std::uint32_t concurrency = 8;
    std::uint32_t coldConcurrency = 1;
    bool isDrained = false; ///< the engine or its data centre is drained and gets no new requests
};

/// An engine's load report. It can be out of date when it arrives.
struct EngineReport
{
    std::string startId;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool cold = false;
    std::vector<std::string> models;
};

struct Granted
{
    OpenPermit permit;
};

struct Refused
{
    PermitKey key;
    SchedulingError error = SchedulingError::QueueFull;
    framework::Milliseconds retryAfter{0};
};

/// Redirects a call to the pool's dispatcher in another data centre.
struct Overflowed
{
    PermitKey key;
    std::string dataCentre;
};

using Action = std::variant<Granted, Refused, Overflowed>;

/// Time limits and bounds of a dispatcher.
struct DispatcherSettings
{
    framework::Milliseconds minHealthyTime{3'000};     ///< a back end is cold until it has been healthy for this time
    framework::Milliseconds loadLag{1'000};            ///< maximum age of a load report
    framework::Milliseconds deathDetectionTime{6'000}; ///< maximum time until an executor's death is detected
    framework::Milliseconds reportLifetime{5'000};     ///< a back end without a report for this time is cold again
    framework::Milliseconds recoveryTime{2'000};       ///< how long a new dispatcher waits for peers' open permits
    framework::Milliseconds permitGrace{5'000};        ///< a permit expires this time after its call's deadline
    framework::Milliseconds overflowMargin{500};       ///< minimum saving of waiting time for a redirection to another data centre
    std::uint32_t queuePerSlot = 16;                   ///< maximum number of waiting calls for each slot
};

} // namespace laburnummill::scheduling
