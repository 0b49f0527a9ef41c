#pragma once

#include "backends/backendregistry.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::scheduling {

/// A part of a prompt, in the order in which the engine reads them.
struct PromptPart
{
    std::string part;
    int tokens = 0;
};

/// What one request needs of a backend server.
struct BackendRequirements
{
    std::vector<PromptPart> prompt; ///< empty for plain services
    std::string lastBackend;        ///< engine that ran the turn before; empty where there is none
    std::set<std::uint64_t> tried;  ///< numbers of servers that are not to be tried again
};

/// Parts of prompts that an engine probably holds in memory, as seen from the requests of this host.
class PromptCacheTracker
{
public:
    auto recordPrompt(std::uint64_t engine, const std::vector<PromptPart>& prompt) -> void;

    /// Tokens of `prompt` that the engine has to read again: all from the first part that it lacks.
    auto missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt) const -> int;

    auto forget(std::uint64_t engine) -> void { m_engines.erase(engine); }

private:
    struct Engine
    {
        std::unordered_map<std::string, std::uint64_t> parts; ///< with the number of their last use
        std::uint64_t uses = 0;
    };

    std::unordered_map<std::uint64_t, Engine> m_engines;
};

/// Bounds what one host sends to a cold backend server: its part of what the server bears.
class ColdStartLimiter
{
public:
    explicit ColdStartLimiter(std::uint64_t seed)
        : m_random(seed)
    {}

    /// `perSecond` is what the server bears from all hosts, `hosts` how many there are.
    auto hasToken(std::uint64_t server, double perSecond, int hosts, framework::Instant now) -> bool;
    auto take(std::uint64_t server) -> void;
    auto forget(std::uint64_t server) -> void { m_buckets.erase(server); }

private:
    struct Bucket
    {
        double tokens = 0;
        framework::Instant filledAt{};
    };

    std::mt19937_64 m_random;

    std::unordered_map<std::uint64_t, Bucket> m_buckets;
};

/// Where the host stands and what it compares servers by.
struct ChoiceSettings
{
    std::string ownDataCentre;
    double coldRequestsPerSecond = 0; ///< of the service; 0 means no bound
    int hosts = 1;
};

/// Whether a server that was not tried yet is neither avoided nor late with any request, as far as hosts know: load that a
/// request which is sent again adds is borne there.
auto hasResponsiveServer(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements, framework::Instant now)
    -> bool;

/// Chooses the server where a request is expected to end first. Holds no socket.
class BackendChoice
{
public:
    /// `seed` differs between hosts.
    explicit BackendChoice(std::uint64_t seed)
        : m_coldStartLimiter(seed)
    {}

    auto choose(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements, const ChoiceSettings& settings,
                framework::Instant now) -> backends::BackendPtr;

    /// A request goes to `server`.
    auto started(const backends::BackendPtr& server, const BackendRequirements& requirements, const ChoiceSettings& settings,
                 framework::Instant now) -> void;

private:
    auto cost(const backends::Backend& server, const BackendRequirements& requirements, const ChoiceSettings& settings,
              framework::Instant now) const -> double;

    PromptCacheTracker m_promptCaches;
    ColdStartLimiter m_coldStartLimiter;
    std::uint64_t m_rotation = 0;
};

} // namespace laburnummill::scheduling
