#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace laburnummill::calls {

/// Retries that a pool's calls may spend together, so that an outage is not met by a multiple of its load.
class RetryBudget
{
public:
    /// Each call earns a part of a retry, up to a bound.
    auto creditCall() -> void;

    /// Takes one retry; false where none is left.
    auto spend() -> bool;

    auto remaining() const -> double { return m_retries; }

private:
    static constexpr auto s_maxRetries = 10.0;
    static constexpr auto s_earnedPerCall = 0.2;

    double m_retries = s_maxRetries;
};

/// When one call is tried again: exponential backoff with full jitter
/// (Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015), never past the deadline.
class RetryPlan
{
public:
    RetryPlan(RetryBudget& budget, std::uint64_t seed);

    /// The pause before the next try; nothing where there must be none.
    auto nextDelay(framework::Instant now, framework::Instant deadline) -> std::optional<framework::Milliseconds>;

private:
    RetryBudget& m_budget;
    std::mt19937_64 m_random;
    unsigned m_tries = 0;
};

} // namespace laburnummill::calls
