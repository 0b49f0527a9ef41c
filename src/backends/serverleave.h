#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>

namespace laburnummill::backends {

/// What made a server known to leave.
enum class LeaveSource
{
    Report, ///< its report in the store
    Answer, ///< its answer to a request of this host
    Peer,   ///< another host received such an answer
};

inline constexpr auto s_leaveSourceNames = framework::NameTable<LeaveSource, 3>{{
    {LeaveSource::Report, "report"},
    {LeaveSource::Answer, "answer"},
    {LeaveSource::Peer, "peer"},
}};

/// Whether one incarnation of a backend server leaves. Answers and reports have no common order, so a report that the server is
/// ready ends an announced leave only if an earlier report of the server shows that it was written after the announcement.
class ServerLeave
{
public:
    /// Takes the server's report number `sequence`. Reports that are not newer than the last draining one are ignored.
    /// Sequence 0 means that the report states none; only if it drains, or no announcement precedes it, does it count.
    auto recordReport(bool isDraining, std::int64_t sequence, framework::Instant now) -> void;

    /// Takes an answer of the server to a request that was sent at `sentAt`. An answer that does not announce the leave ends an
    /// announced leave only if its request was sent after the announcement was received.
    auto recordAnswer(bool isLeaving, framework::Instant sentAt, framework::Instant now) -> void;

    /// Takes the message of another host that an answer announced the leave. Ignored for a while after an announced leave ended:
    /// the message may be older.
    auto recordPeer(framework::Instant now) -> void;

    auto isLeaving() const -> bool { return m_source.has_value(); }

    /// What made the server known to leave first; nullopt if it is not known to leave.
    auto source() const -> std::optional<LeaveSource> { return m_source; }

    /// Time at which the server became known to leave; meaningful only if isLeaving().
    auto since() const -> framework::Instant { return m_since; }

    /// Whether other hosts are to be informed: an answer to this host announced the leave recently.
    auto isToBeShared(framework::Instant now) const -> bool;

private:
    auto begin(LeaveSource source, framework::Instant now) -> void;
    auto end(framework::Instant now) -> void;
    auto announce(LeaveSource source, framework::Instant now) -> void;

    std::optional<LeaveSource> m_source;
    framework::Instant m_since{};
    std::optional<std::int64_t> m_drainingSequence;  ///< of the last draining report
    std::optional<std::int64_t> m_laterSequence;     ///< of a report that was written after the last announcement
    std::optional<framework::Instant> m_announcedAt; ///< last announcement by an answer or another host
    std::optional<framework::Instant> m_answeredAt;  ///< last announcement by an answer to this host
    std::optional<framework::Instant> m_announcedLeaveEndedAt;
};

} // namespace laburnummill::backends
