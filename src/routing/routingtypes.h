#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::routing {

/// Whether a request may run more than once, and whether its response is a stream.
enum class RequestKind
{
    Repeatable,      ///< may run more than once
    Once,            ///< runs at most once
    Stream,          ///< runs at most once; the response is a stream of events
    ResumableStream, ///< may run more than once; a further run can continue the stream after any of its events
};

inline constexpr auto s_requestKindNames = framework::NameTable<RequestKind, 4>{{
    {RequestKind::Repeatable, "repeatable"},
    {RequestKind::Once, "once"},
    {RequestKind::Stream, "stream"},
    {RequestKind::ResumableStream, "resumable_stream"},
}};

/// Whether a request of this kind is idempotent.
constexpr auto mayRunAgain(RequestKind kind) -> bool
{
    return kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream;
}

/// Whether the response to a request of this kind is a stream of events.
constexpr auto isStream(RequestKind kind) -> bool
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

/// A service that receives a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;

    auto operator==(const WeightedService&) const -> bool = default;
};

/// Destination and handling of the requests whose path has one prefix under one host name.
struct Route
{
    std::string name;
    std::string hostName;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Once;
    framework::Milliseconds timeout{0};
    framework::Milliseconds latencyObjective{0};
    framework::Milliseconds maxEventInterval{0}; ///< longest pause between events of a stream that is on time; 0 if unknown
    int maxAttempts = 1;                         ///< maximum number of backend servers that one request is sent to
    int priority = 0;                            ///< 0 is the highest priority
    std::vector<WeightedService> services;
    bool isOpen = false;     ///< no key is required
    bool keepsTurns = false; ///< requests are turns whose text is stored
    framework::Seconds retention{0};

    auto operator==(const Route&) const -> bool = default;
};

/// Capacity of each model engine of a service.
struct EngineSpec
{
    int slots = 1;
    std::int64_t cacheTokens = 0;
    int tokensPerEvent = 1;

    auto operator==(const EngineSpec&) const -> bool = default;
};

/// A group of interchangeable backend servers.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;           ///< that one backend server accepts from all hosts together; 0 if unknown
    double coldRequestsPerSecond = 0; ///< that a cold backend server can handle; 0 means no limit
    std::optional<EngineSpec> engine;

    auto operator==(const ServiceSpec&) const -> bool = default;
};

/// A client account with its keys and its rate limits, which apply to all hosts together.
struct AccountSpec
{
    std::string name;
    std::vector<std::string> keys;
    double ratePerSecond = 0; ///< 0 means no limit
    double burst = 0;

    auto operator==(const AccountSpec&) const -> bool = default;
};

/// Size and time limits for callers' requests.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    framework::Milliseconds headerTimeout{3'000};
    framework::Milliseconds idleTimeout{15'000};

    auto operator==(const CallerLimits&) const -> bool = default;
};

/// One version of the operator's complete configuration.
struct FleetConfiguration
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<AccountSpec> accounts;
    CallerLimits limits;
};

} // namespace laburnummill::routing
