#include "backends/statedload.h"

#include <cmath>

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Time in which a server's pace changes; an older statement says nothing.
constexpr auto s_paceLifetime = Milliseconds(600);

/// Time in which most of the requests that run at a server are replaced by others.
constexpr auto s_countLifetime = Milliseconds(200);

/// A sound server may be silent for about a second.
constexpr auto s_silenceLifetime = Milliseconds(1'000);

/// Beyond this age neither figure has a weight that matters.
constexpr auto s_maxAge = 3 * s_paceLifetime;

auto decay(Milliseconds age, Milliseconds lifetime) -> double
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(lifetime));
}

auto ageOf(const DatedLoadStatement& statement, Instant now) -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(now - statement.statedAt);
}

} // namespace

auto StatedLoad::take(const LoadStatement& load, Instant statedAt) -> void
{
    if (!m_latest || statedAt >= m_latest->statedAt) {
        m_latest = {.load = load, .statedAt = statedAt};
    }
}

auto StatedLoad::recordAnswer(const LoadStatement& load, Instant now) -> void
{
    take(load, now);
    m_own = {.load = load, .statedAt = now};
}

auto StatedLoad::recordPeer(const LoadStatement& load, Instant statedAt) -> void
{
    take(load, statedAt);
}

auto StatedLoad::isSilent(Instant now) const -> bool
{
    return now < m_silentAt + s_silenceLifetime && (!m_latest || m_latest->statedAt < m_silentAt);
}

auto StatedLoad::latest(Instant now) const -> std::optional<DatedLoadStatement>
{
    return m_latest && ageOf(*m_latest, now) < s_maxAge ? m_latest : std::nullopt;
}

auto StatedLoad::toReport(Instant now) const -> std::optional<DatedLoadStatement>
{
    return m_own && ageOf(*m_own, now) < s_paceLifetime ? m_own : std::nullopt;
}

auto StatedLoad::pace(Instant now) const -> double
{
    const auto statement = latest(now);
    return statement && statement->load.pace ? 1 + (*statement->load.pace - 1) * decay(ageOf(*statement, now), s_paceLifetime) : 1;
}

auto StatedLoad::weightOf(Milliseconds age) -> double
{
    return decay(age, s_countLifetime);
}

} // namespace laburnummill::backends
