#pragma once

#include "framework/global/time.h"
#include "scheduling/schedulingerrors.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace laburnummill::scheduling {

/// Names a request and the permit that it becomes: chosen by the executor, so it survives a change of dispatchers.
struct PermitKey
{
    std::uint64_t holder = 0; ///< the executor's life: hash of its host and incarnation
    std::uint64_t number = 0;

    auto operator<=>(const PermitKey&) const = default;
};

struct PermitKeyHash
{
    auto operator()(const PermitKey& key) const -> std::size_t { return key.holder ^ (key.number * 0x9E3779B97F4A7C15ULL); }
};

/// A call that wants a permit.
struct ScheduledCall
{
    PermitKey key;
    std::string account;
    std::string program; ///< empty without a program
    std::string root;    ///< the program that a sub-agent works for; empty: `program` itself
    std::string model;   ///< empty: any
    std::uint64_t promptTokens = 0;
    framework::Instant deadline;
    bool isOverflow = false; ///< came from another data centre's dispatcher; not sent on again
};

/// A permit that its executor holds, as told to a new dispatcher.
struct OpenPermit
{
    ScheduledCall call;
    std::string engine;
    std::string startId; ///< the engine's life that the permit was given for
    bool warm = false;   ///< the engine counted as warm then
};

/// An engine as configured.
struct EngineSpec
{
    std::string name;
    std::uint32_t concurrency = 8;
    std::uint32_t coldConcurrency = 1;
    bool isDrained = false; ///< drained, or its data centre is: nothing new
};

/// An engine's load report; it lags.
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

/// The request is better asked for in another data centre.
struct Overflowed
{
    PermitKey key;
    std::string dataCentre;
};

using Action = std::variant<Granted, Refused, Overflowed>;

/// Times and bounds of a dispatcher.
struct DispatcherSettings
{
    framework::Milliseconds minHealthyTime{3'000};     ///< a back end stays cold until healthy for so long
    framework::Milliseconds loadLag{1'000};            ///< a load report is at most so old
    framework::Milliseconds deathDetectionTime{6'000}; ///< an executor's death is known after so long
    framework::Milliseconds reportLifetime{5'000};     ///< without a report for so long a back end is cold again
    framework::Milliseconds recoveryTime{2'000};       ///< a new dispatcher waits at most so long for peers' open permits
    framework::Milliseconds permitGrace{5'000};        ///< a permit ends so long after its request's deadline
    framework::Milliseconds overflowMargin{500};       ///< another data centre must be faster by so much
    std::uint32_t queuePerSlot = 16;                   ///< waiting requests for each request that the back ends bear
};

} // namespace laburnummill::scheduling
