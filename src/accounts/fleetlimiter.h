#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace laburnummill::accounts {

/// Number of requests that a host has admitted since it started, by client account.
using AdmittedCounts = std::map<std::string, std::uint64_t, std::less<>>;

/// Phase of the program that a request belongs to. Programs in progress should be able to finish: they may use all of an
/// account's limit, while starting programs leave a reserve for those in progress.
enum class ProgramPhase
{
    Starting,
    InProgress,
};

/// Enforces the rate and burst of client accounts over the whole fleet.
///
/// Each host has one token bucket per account, which stands for the limit of the whole fleet. The host takes a token for each
/// request that it admits itself and for each one that another host reports as admitted. The bucket is filled in
/// proportion to the fraction of known hosts that are reachable, so that network partitions together never admit more than
/// the whole limit.
///
/// Reports from other hosts arrive late: if many hosts have a request waiting, each of them might admit one before it
/// receives the others' reports. The number of such competing hosts is estimated from how far the bucket was recently
/// overdrawn. While hosts compete, each of them uses only its share of the available tokens, at random times.
class FleetLimiter
{
public:
    /// `seed` must differ between hosts.
    explicit FleetLimiter(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Sets the limits of an account; a `ratePerSecond` of 0 means no limit.
    auto setLimit(const std::string& account, double ratePerSecond, double burst, framework::Instant now) -> void;

    /// Removes all accounts that are not in `accounts`, the accounts of the current configuration.
    auto keepOnly(const std::set<std::string>& accounts) -> void;

    /// Sets the fraction of known hosts that are reachable, this host included; 0 to 1.
    auto setReachableFraction(double share, framework::Instant now) -> void;

    /// Admits one request if the account's limit allows it. Returns false if it does not.
    auto admit(std::string_view account, ProgramPhase phase, framework::Instant now) -> bool;

    /// Gives back the token of an admitted request that certainly did not run.
    auto giveBack(std::string_view account, framework::Instant now) -> void;

    /// Takes the tokens of requests that another host has admitted since its last report.
    auto recordRemote(std::string_view account, std::int64_t requests, framework::Instant now) -> void;

    /// Returns the expected time until the next request can be admitted; zero if it would be admitted now.
    auto timeToNext(std::string_view account, ProgramPhase phase, framework::Instant now) -> framework::Milliseconds;

    /// Whether an account is so close to its limit that hosts must report admitted requests to each other promptly.
    auto isNearLimit(std::string_view account, framework::Instant now) -> bool;

    /// Requests that this host has admitted since it started.
    auto admitted() const -> const AdmittedCounts& { return m_admitted; }

private:
    struct Bucket
    {
        double ratePerSecond = 0;
        double burst = 0;
        double tokens = 0;
        framework::Instant filledAt{};
        double overdrawn = 0; ///< largest number of requests by which the bucket was overdrawn recently
        framework::Instant overdrawnUntil{};
        double accruedShare = 0;  ///< this host's share of available tokens since it last admitted a request
        double requiredShare = 0; ///< accrued share required for the next request while other hosts compete
    };

    auto fill(Bucket& bucket, framework::Instant now) const -> void;
    auto capacity(const Bucket& bucket) const -> double;
    auto requiredTokens(const Bucket& bucket, ProgramPhase phase) const -> double;
    /// Returns the estimated number of hosts that compete for the next request; below 1 if there are none.
    auto competingHosts(const Bucket& bucket) const -> double;

    /// Returns this host's share, in requests per second, of `availableTokens`.
    auto sharePerSecond(const Bucket& bucket, double availableTokens) const -> double;

    std::map<std::string, Bucket, std::less<>> m_buckets;
    AdmittedCounts m_admitted;
    double m_reachableFraction = 1;
    std::mt19937_64 m_random;
};

} // namespace laburnummill::accounts
