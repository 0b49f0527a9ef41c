#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::routing {

/// What may happen to a request more than once.
enum class RequestKind
{
    Repeatable, ///< may run more than once
    Once,       ///< runs at most once
    Stream,     ///< runs at most once and answers with a series of events
};

inline constexpr auto s_requestKindNames = framework::NameTable<RequestKind, 3>{{
    {RequestKind::Repeatable, "repeatable"},
    {RequestKind::Once, "once"},
    {RequestKind::Stream, "stream"},
}};

/// A service that takes a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;

    auto operator==(const WeightedService&) const -> bool = default;
};

/// Where the requests below one prefix of one host name go, and how they are treated.
struct Route
{
    std::string name;
    std::string hostName;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Once;
    framework::Milliseconds timeout{0};
    framework::Milliseconds latencyObjective{0};
    int maxAttempts = 1; ///< backend servers that one request may be sent to
    int priority = 0;    ///< 0 is the most urgent
    std::vector<WeightedService> services;
    bool isOpen = false;     ///< needs no key
    bool keepsTurns = false; ///< requests are turns whose text the product keeps
    framework::Seconds retention{0};

    auto operator==(const Route&) const -> bool = default;
};

/// What the model engines of one service can do.
struct EngineSpec
{
    int slots = 1;
    std::int64_t cacheTokens = 0;
    int tokensPerEvent = 1;

    auto operator==(const EngineSpec&) const -> bool = default;
};

/// A group of backend servers that do the same work.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;           ///< that one backend server accepts from all hosts together; 0 is unknown
    double coldRequestsPerSecond = 0; ///< that a cold backend server bears; 0 means no bound
    std::optional<EngineSpec> engine;

    auto operator==(const ServiceSpec&) const -> bool = default;
};

/// A client account with its keys and its limits over all hosts.
struct AccountSpec
{
    std::string name;
    std::vector<std::string> keys;
    double ratePerSecond = 0; ///< 0 means no limit
    double burst = 0;

    auto operator==(const AccountSpec&) const -> bool = default;
};

/// What callers may send and how long they may take.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    framework::Milliseconds headerTimeout{3'000};
    framework::Milliseconds idleTimeout{15'000};

    auto operator==(const CallerLimits&) const -> bool = default;
};

/// One version of all that the operator configures.
struct FleetConfiguration
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<AccountSpec> accounts;
    CallerLimits limits;
};

} // namespace laburnummill::routing
