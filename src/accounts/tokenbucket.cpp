#include "accounts/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::accounts {

using framework::Instant;
using framework::Microseconds;

namespace {

constexpr auto s_microsecondsPerSecond = 1.0e6;

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, double burst, double tokens, Instant now)
    : m_ratePerSecond(ratePerSecond)
    , m_burst(burst)
    , m_tokens(std::min(tokens, burst))
    , m_at(now)
{}

auto TokenBucket::refill(Instant now) -> void
{
    if (now <= m_at) {
        return;
    }
    const auto seconds = static_cast<double>((now - m_at).count()) / s_microsecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + seconds * m_ratePerSecond);
    m_at = now;
}

auto TokenBucket::take(Instant now) -> bool
{
    refill(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

auto TokenBucket::giveBack(Instant now) -> void
{
    refill(now);
    m_tokens = std::min(m_burst, m_tokens + 1.0);
}

auto TokenBucket::change(double ratePerSecond, double burst, Instant now) -> void
{
    refill(now);
    m_ratePerSecond = ratePerSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

auto TokenBucket::tokens(Instant now) -> double
{
    refill(now);
    return m_tokens;
}

auto TokenBucket::timeToNext(Instant now) -> Microseconds
{
    refill(now);
    if (m_tokens >= 1.0) {
        return Microseconds(0);
    }
    return Microseconds(static_cast<std::int64_t>(std::ceil((1.0 - m_tokens) / m_ratePerSecond * s_microsecondsPerSecond)));
}

} // namespace laburnummill::accounts
