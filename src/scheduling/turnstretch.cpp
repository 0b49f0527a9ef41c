#include "scheduling/turnstretch.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::scheduling {

namespace {

using framework::Instant;

/// Weights of samples below and above the low figure: it settles where about a quarter of the samples are below.
constexpr auto s_fallWeight = 0.03;
constexpr auto s_riseWeight = 0.01;

constexpr auto s_minSamples = 5;

/// Presumed times before any turn has ended: those of engines that generate some 13 tokens an event.
constexpr auto s_firstEventMs = 50.0;
constexpr auto s_eventMs = 42.0;

/// Time constant of the sums; a turn takes some tenths of a second.
constexpr auto s_windowSeconds = 1.0;

/// A turn that a dead server delays by seconds says nothing of the load.
constexpr auto s_maxStretch = 5.0;

} // namespace

auto LowFigure::record(double value) -> void
{
    if (m_samples == 0) {
        m_value = value;
    }
    ++m_samples;
    m_value += (value < m_value ? s_fallWeight : s_riseWeight) * (value - m_value);
}

auto LowFigure::value(double fallback) const -> double
{
    return m_samples < s_minSamples ? fallback : m_value;
}

auto IdleTurnTimes::record(double firstEventMs, double eventMs) -> void
{
    m_firstEvent.record(firstEventMs);
    if (eventMs > 0) {
        m_event.record(eventMs);
    }
}

auto IdleTurnTimes::expected(int events) const -> double
{
    return m_firstEvent.value(s_firstEventMs) + std::max(events - 1, 0) * m_event.value(s_eventMs);
}

auto StretchSum::operator+=(const StretchSum& other) -> StretchSum&
{
    tookMs += other.tookMs;
    idleMs += other.idleMs;
    return *this;
}

auto RecentStretches::record(double tookMs, double idleMs, Instant now) -> void
{
    m_sum = current(now);
    m_sum += {.tookMs = std::min(tookMs, idleMs * s_maxStretch), .idleMs = idleMs};
    m_updatedAt = now;
}

auto RecentStretches::current(Instant now) const -> StretchSum
{
    const auto left = std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / s_windowSeconds);
    return {.tookMs = m_sum.tookMs * left, .idleMs = m_sum.idleMs * left};
}

} // namespace laburnummill::scheduling
