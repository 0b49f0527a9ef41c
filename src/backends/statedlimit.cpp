#include "backends/statedlimit.h"

#include <algorithm>

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// A statement is outdated after the time of this many requests at the stated rate, within the two bounds.
constexpr auto s_validRequests = 3.0;
constexpr auto s_minValidity = Milliseconds(5'000);
constexpr auto s_maxValidity = Milliseconds(30'000);

auto validity(double perSecond) -> Milliseconds
{
    const auto longest = std::chrono::duration<double>(s_maxValidity).count();
    const auto seconds = perSecond * longest > s_validRequests ? s_validRequests / perSecond : longest;
    return std::max(s_minValidity, std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds)));
}

} // namespace

auto StatedLimit::recordAnswer(std::optional<double> perSecond, Instant sentAt, Instant now) -> void
{
    if (perSecond) {
        m_latest = RateStatement{.perSecond = *perSecond, .statedAt = now, .source = LimitSource::Answer};
        return;
    }
    // Answers on different connections may overtake each other.
    if (m_latest && sentAt > m_latest->statedAt) {
        m_latest.reset();
    }
}

auto StatedLimit::current(Instant now) const -> std::optional<RateStatement>
{
    return m_latest && now < m_latest->statedAt + validity(m_latest->perSecond) ? m_latest : std::nullopt;
}

} // namespace laburnummill::backends
