#include "stoprecord.h"

#include <algorithm>
#include <ranges>

#include <fmt/format.h>

namespace laburnummill::testing {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// A fault excuses what was sent until this long after its end.
constexpr auto s_faultMargin = Milliseconds(3'000);

/// A request that no backend server began may end with its connection for this long after its last byte was sent.
constexpr auto s_crossingTime = Milliseconds(200);

/// Requests that end later than this were not cut off by a stop: it is the timeout of all routes of the fleet's configuration.
constexpr auto s_routeTimeout = Milliseconds(2'000);

/// After the end of its process a host's connections are closed within this time.
constexpr auto s_closeTime = Milliseconds(1'000);

/// A stop may cut off a request that was sent until this long after the host was asked to stop and lasts into the last part of the
/// grace period.
constexpr auto s_earlyTime = Milliseconds(3'000);
constexpr auto s_lastParts = 6;

} // namespace

StopRecord::StopRecord(Milliseconds gracePeriod)
    : m_gracePeriod(gracePeriod)
{}

auto StopRecord::stopBegan(int host, Instant now) -> void
{
    ++m_stopCount;
    m_stops[host].push_back({.from = now, .to = {}});
}

auto StopRecord::stopEnded(int host, Instant now) -> void
{
    auto& stops = m_stops[host];
    if (!stops.empty() && !stops.back().to) {
        stops.back().to = now;
    }
}

auto StopRecord::faultBegan(Place place, Instant now) -> void
{
    auto& disturbance = m_disturbances[place];
    if (++disturbance.underWay == 1) {
        disturbance.spans.push_back({.from = now, .to = {}});
    }
}

auto StopRecord::faultEnded(Place place, Instant now) -> void
{
    auto& disturbance = m_disturbances[place];
    if (--disturbance.underWay == 0) {
        disturbance.spans.back().to = now;
    }
}

auto StopRecord::failureOf(const AttemptEnd& end) -> std::optional<std::string>
{
    const auto* stop = stopAround(end);
    const auto took = end.endedAt - end.sentAt;
    if (stop == nullptr || end.isWhole || took >= s_routeTimeout || usedUpGrace(end, stop->from)) {
        return std::nullopt;
    }
    const auto crossesClose = end.engines.empty() && !end.hasBegun && took <= s_crossingTime;
    if (crossesClose) {
        return std::nullopt;
    }
    const auto milliseconds = [](auto time) { return std::chrono::duration_cast<Milliseconds>(time).count(); };
    auto failure =
        fmt::format("host-{} cut it off {} ms after it was sent, {} ms after the host was asked to stop; {} backend servers began it",
                    end.host, milliseconds(took), milliseconds(end.endedAt - stop->from), end.engines.size());
    if (isExcused(end)) {
        m_excused.push_back(std::move(failure));
        return std::nullopt;
    }
    return failure;
}

auto StopRecord::stopAround(const AttemptEnd& end) const -> const Span*
{
    const auto stops = m_stops.find(end.host);
    if (stops == m_stops.end()) {
        return nullptr;
    }
    const auto isAround = [&end](const Span& stop) {
        return stop.from <= end.endedAt && (!stop.to || end.sentAt <= *stop.to) && (!stop.to || end.endedAt <= *stop.to + s_closeTime);
    };
    const auto found = std::ranges::find_if(stops->second, isAround);
    return found == stops->second.end() ? nullptr : &*found;
}

auto StopRecord::isDisturbed(Place place, const AttemptEnd& end) const -> bool
{
    const auto disturbance = m_disturbances.find(place);
    return disturbance != m_disturbances.end() && std::ranges::any_of(disturbance->second.spans, [&end](const Span& span) {
               return span.from <= end.endedAt && (!span.to || end.sentAt <= *span.to + s_faultMargin);
           });
}

auto StopRecord::isExcused(const AttemptEnd& end) const -> bool
{
    return isDisturbed({.kind = Place::Kind::Host, .number = end.host}, end) || isDisturbed({.kind = Place::Kind::Store}, end) ||
           std::ranges::any_of(end.engines, [&](int engine) { return isDisturbed({.kind = Place::Kind::Engine, .number = engine}, end); });
}

auto StopRecord::usedUpGrace(const AttemptEnd& end, Instant askedAt) const -> bool
{
    const auto isEarly = end.sentAt <= askedAt + s_earlyTime;
    return isEarly && !end.engines.empty() && end.endedAt >= askedAt + m_gracePeriod - m_gracePeriod / s_lastParts;
}

} // namespace laburnummill::testing
