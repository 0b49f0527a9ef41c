#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace laburnummill::calls {

/// Retry budget shared by the calls of a pool. Limits the extra load from retries during an outage.
class RetryBudget
{
public:
    /// Adds a fraction of a retry to the budget, up to a maximum. Invoked once for each call.
    auto creditCall() -> void;

    /// Takes one retry from the budget. Returns false if none is left.
    auto spend() -> bool;

    auto remaining() const -> double { return m_retries; }

private:
    static constexpr auto s_maxRetries = 10.0;
    static constexpr auto s_earnedPerCall = 0.2;

    double m_retries = s_maxRetries;
};

/// Schedules the retries of one call: exponential backoff with full jitter
/// (Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015), never past the deadline.
class RetryPlan
{
public:
    RetryPlan(RetryBudget& budget, std::uint64_t seed);

    /// Returns the delay before the next try. Returns nullopt if the tries or the budget are exhausted or the delay would reach
    /// the deadline.
    auto nextDelay(framework::Instant now, framework::Instant deadline) -> std::optional<framework::Milliseconds>;

private:
    RetryBudget& m_budget;
    std::mt19937_64 m_random;
    unsigned m_tries = 0;
};

} // namespace laburnummill::calls
