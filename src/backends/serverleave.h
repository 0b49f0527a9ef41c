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

/// Whether one incarnation of a backend server leaves. A server that announces its leave in an answer does not come back under the
/// same incarnation, so that nothing ends an announced leave: a report that says otherwise is older, however late it arrives. A
/// leave that was only reported ends with a newer report.
class ServerLeave
{
public:
    /// Takes the server's report number `sequence`; 0 means that the report states none. A ready report that is not newer than the
    /// last draining one is ignored.
    auto recordReport(bool isDraining, std::int64_t sequence, framework::Instant now) -> void;

    /// Takes an answer of the server to this host that announces its leave.
    auto recordAnswer(framework::Instant now) -> void;

    /// Takes the message of another host that an answer announced the leave.
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

    std::optional<LeaveSource> m_source;
    framework::Instant m_since{};
    bool m_isAnnounced = false;                     ///< by an answer to this or another host
    std::optional<std::int64_t> m_drainingSequence; ///< of the last draining report
    std::optional<framework::Instant> m_answeredAt; ///< last announcement by an answer to this host
};

} // namespace laburnummill::backends
