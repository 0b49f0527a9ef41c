#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace laburnummill::accounts {

/// One count over all hosts: how many requests a host has admitted for each client account since it started.
using AdmittedCounts = std::map<std::string, std::uint64_t, std::less<>>;

/// What a request is part of. A program that has begun is worth finishing: it may use the last of an account's limit,
/// while one that has not begun leaves a part of it to those under way.
enum class ProgramPhase
{
    Starting,
    InProgress,
};

/// Keeps client accounts within rate and burst over all hosts together.
///
/// Each host keeps a bucket for the whole fleet and takes from it what it admits itself and what the others say
/// they admitted. The bucket fills by the share of known hosts that are heard, so that parts of the fleet that
/// cannot hear each other never admit more than the whole limit together.
///
/// Hosts that all have a request to admit would each admit one before they hear of each other. How far a bucket was
/// overdrawn lately tells how many they are. Each then takes its part of what is free only, at moments of its own by chance.
class FleetLimiter
{
public:
    /// `seed` differs between hosts.
    explicit FleetLimiter(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Sets the limits of an account; a `rate` of 0 means no limit.
    auto setLimit(const std::string& account, double ratePerSecond, double burst, framework::Instant now) -> void;

    /// Forgets accounts that are not in the configuration any more.
    auto keepOnly(const std::set<std::string>& accounts) -> void;

    /// Share of the known hosts that are heard, this one included; 0 to 1.
    auto setReachableFraction(double share, framework::Instant now) -> void;

    /// Admits one request where the account's limit holds it.
    auto admit(std::string_view account, ProgramPhase phase, framework::Instant now) -> bool;

    /// A request that was admitted has surely not run.
    auto giveBack(std::string_view account, framework::Instant now) -> void;

    /// What another host has admitted since the last word from it.
    auto recordRemote(std::string_view account, std::int64_t requests, framework::Instant now) -> void;

    /// Time until one more request would be admitted; zero where it would be now.
    auto timeToNext(std::string_view account, ProgramPhase phase, framework::Instant now) -> framework::Milliseconds;

    /// Whether an account is so close to its limit that hosts must tell each other soon what they admit.
    auto isNearLimit(std::string_view account, framework::Instant now) -> bool;

    /// What this host has admitted since it started.
    auto admitted() const -> const AdmittedCounts& { return m_admitted; }

private:
    struct Bucket
    {
        double ratePerSecond = 0;
        double burst = 0;
        double tokens = 0;
        framework::Instant filledAt{};
        double overdrawn = 0; ///< by so many requests, at its deepest lately
        framework::Instant overdrawnUntil{};
        double accruedShare = 0;  ///< of what was free that fell to this host since it admitted a request
        double requiredShare = 0; ///< that its next request needs, where others compete
    };

    auto fill(Bucket& bucket, framework::Instant now) const -> void;
    auto capacity(const Bucket& bucket) const -> double;
    auto requiredTokens(const Bucket& bucket, ProgramPhase phase) const -> double;
    /// Hosts that seem to compete for the next request; below one where none do.
    auto competingHosts(const Bucket& bucket) const -> double;

    /// Requests a second that fall to this host while so many tokens are free.
    auto sharePerSecond(const Bucket& bucket, double availableTokens) const -> double;

    std::map<std::string, Bucket, std::less<>> m_buckets;
    AdmittedCounts m_admitted;
    double m_reachableFraction = 1;
    std::mt19937_64 m_random;
};

} // namespace laburnummill::accounts
