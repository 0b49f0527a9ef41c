#pragma once

#include "framework/global/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace laburnummill::rollouts {

/// Servers are counted in so many groups, by their hashes.
inline constexpr auto s_serverGroups = std::size_t{8};

/// Responses of some servers since an order. Counts only rise while a host runs.
struct ResponseCounts
{
    std::uint64_t responses = 0;
    std::uint64_t bad = 0; ///< failed or several times slower than usual
};

/// Responses of one version on one route, by group of servers.
using VersionCounts = std::array<ResponseCounts, s_serverGroups>;

/// Counts of the new and the old version of a service on one route.
struct RouteCounts
{
    VersionCounts newVersion;
    VersionCounts oldVersion;
};

/// By hash of the route.
using OutcomeCounts = std::map<std::uint32_t, RouteCounts>;

/// Records a response in `counts`.
auto countResponse(VersionCounts& counts, std::string_view server, bool isBad) -> void;

enum class EvidenceVerdict
{
    Open, ///< not enough responses
    Good,
    Bad,
};

/// Decides by the responses to all hosts whether a new version is worse than the old one.
///
/// A sequential test (CUSUM) compares the share of bad responses of the new version with that of the old one on the same route at the same
/// time, so that faults that affect both versions do not count. It detects a version that turns bad later, since good responses before
/// do not offset bad ones. The fault of one server is not that of the version: each test is made without each group of servers in turn, and
/// all must show the fault.
class VersionEvidence
{
public:
    /// Takes the counts of one host. `incarnation` tells its starts apart.
    auto record(const std::string& host, std::uint64_t incarnation, const OutcomeCounts& counts) -> void;

    /// Evaluates what was recorded since the last call; to be called several times a second.
    auto evaluate(framework::Instant now) -> EvidenceVerdict;

    auto verdict() const -> EvidenceVerdict { return m_verdict; }
    auto newResponses() const -> std::uint64_t { return m_newResponses; }
    auto newBad() const -> std::uint64_t { return m_newBad; }

private:
    /// Sums of one test, each without one group of servers.
    using Sums = std::array<double, s_serverGroups>;

    struct RouteEvidence
    {
        RouteCounts since;       ///< the last evaluation
        double oldResponses = 0; ///< decaying
        double oldBad = 0;
        Sums large{};
        Sums small{};
    };

    struct HostCounts
    {
        std::uint64_t incarnation = 0;
        OutcomeCounts counts;
    };

    /// Adds the counts to a test for a share of bad responses that is `difference` above the usual one.
    static auto advance(Sums& sums, const VersionCounts& counts, double usualShare, double difference) -> void;
    /// Lowest sum of a test over the groups of servers that were used.
    auto lowest(const Sums& sums) const -> double;

    std::map<std::string, HostCounts> m_hosts;
    std::map<std::uint32_t, RouteEvidence> m_routes;
    std::uint64_t m_newResponses = 0;
    std::uint64_t m_newBad = 0;
    std::array<bool, s_serverGroups> m_isUsed{};
    EvidenceVerdict m_verdict = EvidenceVerdict::Open;
    framework::Instant m_evaluatedAt{};
};

} // namespace laburnummill::rollouts
