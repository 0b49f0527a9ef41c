#include "backends/serverleave.h"

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Sequence of a report that states none. The rows of the store order such reports.
constexpr auto s_noSequence = std::int64_t{0};

/// How long other hosts are informed of an announcement. Covers several heartbeats of a large fleet.
constexpr auto s_shareTime = Milliseconds(8'000);

} // namespace

auto ServerLeave::recordReport(bool isDraining, std::int64_t sequence, Instant now) -> void
{
    if (isDraining) {
        m_drainingSequence = sequence;
        begin(LeaveSource::Report, now);
        return;
    }
    const auto isOutdated = m_drainingSequence && sequence <= *m_drainingSequence && sequence != s_noSequence;
    if (!m_isAnnounced && !isOutdated) {
        m_source.reset();
        m_drainingSequence.reset();
    }
}

auto ServerLeave::recordAnswer(Instant now) -> void
{
    m_isAnnounced = true;
    m_answeredAt = now;
    begin(LeaveSource::Answer, now);
}

auto ServerLeave::recordPeer(Instant now) -> void
{
    m_isAnnounced = true;
    begin(LeaveSource::Peer, now);
}

auto ServerLeave::isToBeShared(Instant now) const -> bool
{
    return m_answeredAt && now < *m_answeredAt + s_shareTime;
}

auto ServerLeave::begin(LeaveSource source, Instant now) -> void
{
    if (!m_source) {
        m_source = source;
        m_since = now;
    }
}

} // namespace laburnummill::backends
