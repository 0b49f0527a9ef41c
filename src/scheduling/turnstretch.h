#pragma once

#include "framework/global/time.h"

#include <cstdint>

namespace laburnummill::scheduling {

/// A figure that follows the low values of its samples: what something takes when nothing delays it. Rises slowly, so that a minute of
/// overload does not pass for the usual, and after a lasting change it is right again.
class LowFigure
{
public:
    auto record(double value) -> void;

    /// The low value, or `fallback` before enough samples are known.
    auto value(double fallback) const -> double;

private:
    double m_value = 0;
    int m_samples = 0;
};

/// Times of the turns of one service on an idle engine, in milliseconds, learned from the turns themselves.
class IdleTurnTimes
{
public:
    /// Takes a turn whose first event came `firstEventMs` after it was sent and whose `events` followed each other every `eventMs`;
    /// `eventMs` is 0 if there was only one.
    auto record(double firstEventMs, double eventMs) -> void;

    /// Time of a turn with this number of events, from its arrival at a host to its end.
    auto expected(int events) const -> double;

private:
    LowFigure m_firstEvent;
    LowFigure m_event;
};

/// Times of recent turns and the times that they would have taken on idle engines. Sums, so that short turns, which take long in
/// proportion for the way alone, count little.
struct StretchSum
{
    double tookMs = 0;
    double idleMs = 0;

    auto operator+=(const StretchSum& other) -> StretchSum&;
    /// Ratio of the two; 1 if there are no turns.
    auto average() const -> double { return idleMs > 0 ? tookMs / idleMs : 1; }
};

/// The stretches of the turns that ended on this host within about a second.
class RecentStretches
{
public:
    auto record(double tookMs, double idleMs, framework::Instant now) -> void;
    auto current(framework::Instant now) const -> StretchSum;

private:
    StretchSum m_sum; ///< at m_updatedAt
    framework::Instant m_updatedAt{};
};

} // namespace laburnummill::scheduling
