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

/// Sum and number of the stretches of recent turns: the time of a turn over its time on an idle engine.
struct StretchSum
{
    double sum = 0;
    double turns = 0;

    auto operator+=(const StretchSum& other) -> StretchSum&;
    /// Average stretch; 1 if there are no turns.
    auto average() const -> double { return turns > 0 ? sum / turns : 1; }
};

/// The stretches of the turns that ended on this host within about a second.
class RecentStretches
{
public:
    auto record(double stretch, framework::Instant now) -> void;
    auto current(framework::Instant now) const -> StretchSum;

private:
    StretchSum m_sum; ///< at m_updatedAt
    framework::Instant m_updatedAt{};
};

} // namespace laburnummill::scheduling
