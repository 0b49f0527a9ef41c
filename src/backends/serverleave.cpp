#include "backends/serverleave.h"

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Sequence of a report that states none. The rows of the store order such reports.
constexpr auto s_noSequence = std::int64_t{0};

/// A report that a host receives later than this after an announcement was written after it, if the host reaches the store.
constexpr auto s_maxReportDelay = Milliseconds(2'000);

/// How long other hosts are informed of an announcement. Covers several heartbeats of a large fleet.
constexpr auto s_shareTime = Milliseconds(8'000);

/// Age of the oldest message of another host that may still arrive.
constexpr auto s_maxMessageAge = s_shareTime + Milliseconds(2'000);

} // namespace

auto ServerLeave::recordReport(bool isDraining, std::int64_t sequence, Instant now) -> void
{
    if (isDraining) {
        m_drainingSequence = sequence;
        m_laterSequence = sequence;
        begin(LeaveSource::Report, now);
        return;
    }
    const auto isOutdated = m_drainingSequence && sequence <= *m_drainingSequence && sequence != s_noSequence;
    if (!isLeaving() || isOutdated) {
        return;
    }
    if (!m_announcedAt || (m_laterSequence && sequence > *m_laterSequence)) {
        end(now);
    } else if (!m_laterSequence && now >= *m_announcedAt + s_maxReportDelay) {
        m_laterSequence = sequence;
    }
}

auto ServerLeave::recordAnswer(bool isLeaving, Instant sentAt, Instant now) -> void
{
    if (isLeaving) {
        m_answeredAt = now;
        announce(LeaveSource::Answer, now);
        return;
    }
    if (!m_announcedAt || sentAt <= *m_announcedAt) {
        return;
    }
    if (m_drainingSequence) {
        m_announcedLeaveEndedAt = now;
        m_announcedAt.reset(); // The report still applies.
        m_answeredAt.reset();
        return;
    }
    end(now);
}

auto ServerLeave::recordPeer(Instant now) -> void
{
    const auto mayBeOutdated = m_announcedLeaveEndedAt && now < *m_announcedLeaveEndedAt + s_maxMessageAge;
    if (!m_announcedAt && !mayBeOutdated) {
        announce(LeaveSource::Peer, now);
    }
}

auto ServerLeave::isToBeShared(Instant now) const -> bool
{
    return m_answeredAt && now < *m_answeredAt + s_shareTime;
}

auto ServerLeave::announce(LeaveSource source, Instant now) -> void
{
    m_announcedAt = now;
    m_laterSequence = m_drainingSequence;
    begin(source, now);
}

auto ServerLeave::begin(LeaveSource source, Instant now) -> void
{
    if (!m_source) {
        m_source = source;
        m_since = now;
    }
}

auto ServerLeave::end(Instant now) -> void
{
    if (m_announcedAt) {
        m_announcedLeaveEndedAt = now;
    }
    m_source.reset();
    m_drainingSequence.reset();
    m_laterSequence.reset();
    m_announcedAt.reset();
    m_answeredAt.reset();
}

} // namespace laburnummill::backends
