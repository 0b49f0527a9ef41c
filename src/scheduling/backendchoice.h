#pragma once

#include "backends/backendregistry.h"
#include "scheduling/limitbuckets.h"
#include "scheduling/promptcachetracker.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::scheduling {

/// Properties of one request that affect the choice of a backend server.
struct BackendRequirements
{
    std::vector<PromptPart> prompt; ///< empty for plain services
    std::string lastBackend;        ///< id of the engine that ran the previous turn; empty if there is none
    std::set<std::uint64_t> tried;  ///< numbers of the servers to which this request was already sent
    std::string chain;              ///< id of the chain of turns, or of the request itself; the same on all hosts
};

/// Limits the rate of this host's requests to a cold backend server to an equal share of the server's capacity.
class ColdStartLimiter
{
public:
    explicit ColdStartLimiter(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Whether a request may be sent now. `perSecond` is the rate that the server can handle from all hosts together, `hosts`
    /// the number of hosts.
    auto hasToken(std::uint64_t server, double perSecond, int hosts, framework::Instant now) -> bool;
    /// Takes the token of one request.
    auto take(std::uint64_t server) -> void;
    auto remove(std::uint64_t server) -> void { m_buckets.erase(server); }

private:
    struct Bucket
    {
        double tokens = 0;
        framework::Instant filledAt{};
    };

    std::mt19937_64 m_random;

    std::unordered_map<std::uint64_t, Bucket> m_buckets;
};

/// Starts of this host within about the last report interval. The other hosts are taken to start as many each.
class RecentStarts
{
public:
    auto add(framework::Milliseconds interval, framework::Instant now) -> void;
    auto count(framework::Instant now) const -> double;

private:
    double m_count = 0; ///< decays exponentially
    framework::Milliseconds m_interval{1};
    framework::Instant m_updatedAt{};
};

/// What is known of one server to all hosts alike.
struct ServerLoad
{
    double inFlight = 0; ///< reported requests that are expected to be still in progress
    double slots = 1;
    double slowness = 1;                                   ///< ratio of request durations to those of other servers
    double penalty = 0;                                    ///< cost of failures and overdue requests, in milliseconds
    double maxStarts = std::numeric_limits<double>::max(); ///< requests that other hosts can have started there since their reports
};

/// Where the other hosts have probably sent the requests that no report contains yet: they choose by the same reports, so that these
/// requests go to the cheapest servers until all servers that get some cost the same.
class UnreportedStarts
{
public:
    UnreportedStarts(const std::vector<ServerLoad>& loads, double total);

    /// Expected number of these requests at a server.
    auto at(const ServerLoad& load) const -> double;

private:
    double m_cost = 0; ///< of the servers that get some
};

/// How a server is chosen among those that may be used.
enum class PlacementRule
{
    EqualCost,      ///< as if the other hosts filled the cheapest servers since their reports
    ExpectedFinish, ///< by the time at which the request is expected to end and the delay that it causes to others
};

/// Parameters of the choice that do not depend on the request.
struct ChoiceSettings
{
    std::string ownDataCentre;
    double coldRequestsPerSecond = 0; ///< limit of the service for each cold server; 0 means no limit
    int hosts = 1;
    framework::Milliseconds reportInterval{200}; ///< at which hosts report their running requests to each other
    PlacementRule rule = PlacementRule::EqualCost;
    double serviceMs = 200; ///< usual time for which a request occupies a slot
};

/// Whether there is an untried server that is not avoided and has no overdue requests of any host. Such a server can handle the
/// extra load of a request that is sent again.
auto hasResponsiveServer(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements, framework::Instant now)
    -> bool;

/// Number of requests that a server can run at a time, at least one. A server that states a limit gets no more than arrive within the time
/// that a request takes.
auto usableSlots(const backends::Backend& server, framework::Instant now) -> double;

/// Chooses the backend server on which a request is expected to finish first. Performs no I/O.
class BackendChoice
{
public:
    /// `seed` must differ between hosts, so that they start to use a cold server at different times.
    explicit BackendChoice(std::uint64_t seed)
        : m_coldStartLimiter(seed)
        , m_limitBuckets(seed)
        , m_random(static_cast<std::minstd_rand::result_type>(seed))
    {}

    /// Returns the server with the lowest expected cost, or null if no server may be used now.
    auto choose(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements, const ChoiceSettings& settings,
                framework::Instant now) -> backends::BackendPtr;

    /// The servers that should be asked for their present load before the request is placed: at first the best one by present knowledge;
    /// if none of `probed`, those that were asked before, has a free slot, the best others. Empty if enough is known. Only for
    /// PlacementRule::ExpectedFinish.
    auto serversToProbe(const std::vector<backends::BackendPtr>& servers, const std::vector<backends::BackendPtr>& probed,
                        const BackendRequirements& requirements, const ChoiceSettings& settings, framework::Instant now)
        -> std::vector<backends::BackendPtr>;

    /// Time after which this host's share of the servers' limits allows one more request after `waiting` others; the largest value if
    /// it has no share. Returns nullopt if an untried server has no limit.
    auto limitWait(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements, int waiting,
                   framework::Instant now) -> std::optional<framework::Milliseconds>;

    /// Records that a request is sent to `server`.
    auto started(const backends::BackendPtr& server, const BackendRequirements& requirements, const ChoiceSettings& settings,
                 framework::Instant now) -> void;

private:
    struct Candidate
    {
        backends::BackendPtr server;
        ServerLoad load;
        double unreported = 0; ///< starts of other hosts that are expected there
        double freeSlots = 0;  ///< that remain if it gets one more request, less the uncertainty of what is known
        double cost = 0;
    };

    auto candidates(const std::vector<backends::BackendPtr>& servers, const BackendRequirements& requirements,
                    const ChoiceSettings& settings, framework::Instant now) -> std::vector<Candidate>;
    auto cost(const backends::Backend& server, const ServerLoad& load, const BackendRequirements& requirements,
              const ChoiceSettings& settings) const -> double;
    auto uncachedTokens(const backends::Backend& server, const BackendRequirements& requirements, std::size_t commonParts) const -> int;
    /// Sets the cost of each candidate to the time until the request is expected to end there.
    auto estimateFinish(std::vector<Candidate>& candidates, const BackendRequirements& requirements, const ChoiceSettings& settings,
                        framework::Instant now) const -> void;

    PromptCacheTracker m_promptCaches;
    ColdStartLimiter m_coldStartLimiter;
    LimitBuckets m_limitBuckets;
    RecentStarts m_recentStarts;
    std::minstd_rand m_random;
    std::uint64_t m_rotation = 0;
};

} // namespace laburnummill::scheduling
