#pragma once

#include "framework/global/time.h"

namespace laburnummill::accounts {

/// A token bucket that gains `ratePerSecond` tokens per second and holds at most `burst`.
class TokenBucket
{
public:
    /// Starts with `tokens`, limited to the burst.
    TokenBucket(double ratePerSecond, double burst, double tokens, framework::Instant now);

    /// Takes one token. Returns false if there is none.
    auto take(framework::Instant now) -> bool;

    /// Puts one token back; the bucket never holds more than the burst.
    auto giveBack(framework::Instant now) -> void;

    /// Changes rate and burst; tokens above the new burst are discarded.
    auto change(double ratePerSecond, double burst, framework::Instant now) -> void;

    /// Returns the tokens held at `now`.
    auto tokens(framework::Instant now) -> double;

    /// Returns the time until a whole token is available; zero if one is available now.
    auto timeToNext(framework::Instant now) -> framework::Microseconds;

private:
    auto refill(framework::Instant now) -> void;

    double m_ratePerSecond;
    double m_burst;
    double m_tokens;
    framework::Instant m_at;
};

} // namespace laburnummill::accounts
