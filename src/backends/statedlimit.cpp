#include "backends/statedlimit.h"

#include <algorithm>
#include <cmath>

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

/// One report in this time suffices for all hosts, whichever host sends it.
constexpr auto s_reportInterval = Milliseconds(1'000);

/// Hosts report rates in thousandths of a request per second.
constexpr auto s_rateResolution = 0.001;

auto isValid(const std::optional<RateStatement>& statement, Instant now) -> bool
{
    return statement && now < statement->statedAt + validity(statement->perSecond);
}

} // namespace

auto isSameRate(double onePerSecond, double otherPerSecond) -> bool
{
    return std::abs(onePerSecond - otherPerSecond) <= s_rateResolution;
}

auto StatedLimit::recordAnswer(std::optional<double> perSecond, Instant sentAt, Instant now) -> void
{
    if (perSecond) {
        m_own = RateStatement{.perSecond = *perSecond, .statedAt = now, .source = LimitSource::Answer};
        return;
    }
    // Answers on different connections may overtake each other, so that only statements before the request was sent end.
    m_unlimitedAt = std::max(m_unlimitedAt, sentAt);
    for (auto* statement : {&m_own, &m_remote}) {
        if (*statement && (*statement)->statedAt < sentAt) {
            statement->reset();
        }
    }
}

auto StatedLimit::recordPeer(double perSecond, Instant statedAt) -> void
{
    if (statedAt > m_unlimitedAt && (!m_remote || statedAt > m_remote->statedAt)) {
        m_remote = RateStatement{.perSecond = perSecond, .statedAt = statedAt, .source = LimitSource::Peer};
    }
}

auto StatedLimit::toReport(Instant now) const -> std::optional<RateStatement>
{
    if (!isValid(m_own, now)) {
        return std::nullopt;
    }
    const auto isReported =
        m_remote && isSameRate(m_remote->perSecond, m_own->perSecond) && m_remote->statedAt + s_reportInterval > m_own->statedAt;
    return isReported ? std::nullopt : m_own;
}

auto StatedLimit::current(Instant now) const -> std::optional<RateStatement>
{
    const auto& latest = m_own && (!m_remote || m_own->statedAt >= m_remote->statedAt) ? m_own : m_remote;
    return isValid(latest, now) ? latest : std::nullopt;
}

} // namespace laburnummill::backends
