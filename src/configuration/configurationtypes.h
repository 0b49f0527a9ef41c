#pragma once

#include "framework/http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::configuration {

/// The kind of back ends that serve a route.
enum class RouteKind
{
    Model, ///< model engines with a chat-completions API
    Plain, ///< plain services
};

auto routeKindName(RouteKind kind) -> std::string_view;
auto routeKindFromName(std::string_view name) -> std::optional<RouteKind>;

struct DataCentre
{
    std::string name;
    std::string region;
    bool drained = false; ///< receives no new work

    auto operator==(const DataCentre&) const -> bool = default;
};

struct ClientAccount
{
    std::string name;
    std::string team;
    double ratePerSecond = 1;
    double burst = 1;
    double weight = 1; ///< share of the engines' capacity relative to other accounts

    auto operator==(const ClientAccount&) const -> bool = default;
};

/// A group of back ends that can serve the same calls.
struct Pool
{
    std::string name;
    RouteKind kind = RouteKind::Plain;
    std::vector<std::string> models;

    auto operator==(const Pool&) const -> bool = default;
};

struct BackendServer
{
    std::string name;
    std::string pool;
    std::string dataCentre;
    framework::Endpoint address;
    std::uint32_t concurrency = 8;     ///< concurrent requests when warm
    std::uint32_t coldConcurrency = 1; ///< concurrent requests during a cold start
    bool checksFencing = false;        ///< rejects requests with an outdated fencing number
    bool drained = false;

    auto operator==(const BackendServer&) const -> bool = default;
};

/// A named entry point for calls, served by a pool.
struct Route
{
    std::string name;
    std::string pool;
    RouteKind kind = RouteKind::Plain;
    std::string model;
    std::string method = "POST";
    std::string path;
    bool repeatable = false; ///< executing a call twice is harmless; off by default for safety
    bool openToAll = false;  ///< requires no API key
    std::uint32_t timeoutMs = 60'000;

    auto operator==(const Route&) const -> bool = default;
};

/// Limits of a program.
struct ProgramLimits
{
    std::uint32_t maxTurns = 64;
    std::uint64_t maxTokens = 1'000'000;
    std::uint64_t maxDurationMs = 12ULL * 3600 * 1000;
    std::uint64_t expiryMs = 12ULL * 3600 * 1000; ///< time after the last call until the program is removed

    auto operator==(const ProgramLimits&) const -> bool = default;
};

/// Settings for the order and placement of calls.
struct PolicySettings
{
    std::string name = "fairshare";         ///< firstcome, leastloaded or fairshare
    double fairness = 0.5;                  ///< 0 optimises program latency only, 1 equal shares only
    double ageingTokensPerSecond = 100'000; ///< each second since a program's start counts as this many tokens of service
    std::uint32_t passedAtMostMs = 10'000;  ///< maximum time that calls with a cached prefix may be scheduled ahead of a waiting call
    double prefillMsPerToken = 0.1;         ///< prefill time of the pools' engines
    double decodeMsPerStep = 22;            ///< decode time for a batch of one
    double cacheCapacityTokens = 200'000;   ///< size of an engine's prefix cache
    std::uint32_t queuePerSlot = 16;        ///< waiting calls per call that the back ends can run concurrently; further calls are refused
    std::uint32_t minHealthyMs = 3'000;     ///< a back end counts as cold until it has been healthy for this long

    auto operator==(const PolicySettings&) const -> bool = default;
};

/// Returns the initial policy settings of a deployment: "podlozhka" favours fairness and few refusals, "piedmont" program
/// latency. Returns the defaults for any other name.
auto policyPreset(std::string_view name) -> PolicySettings;

/// One version of all settings that operators control at run time.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<DataCentre> dataCentres;
    std::vector<ClientAccount> clientAccounts;
    std::vector<Pool> pools;
    std::vector<BackendServer> backendServers;
    std::vector<Route> routes;
    ProgramLimits programs;
    PolicySettings policy;

    auto operator==(const Configuration&) const -> bool = default;

    auto route(std::string_view name) const -> const Route*;
    auto clientAccount(std::string_view name) const -> const ClientAccount*;
    auto dataCentre(std::string_view name) const -> const DataCentre*;
    auto backendServer(std::string_view name) const -> const BackendServer*;
};

} // namespace laburnummill::configuration
