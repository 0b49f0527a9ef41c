#pragma once

#include "framework/global/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::serving {

/// Why a run's events cannot follow those that the caller has received.
enum class ContinuationFault
{
    NoEventId,  ///< an event without a readable id
    OutOfOrder, ///< the event does not follow the last one
};

inline constexpr auto s_continuationFaultNames = framework::NameTable<ContinuationFault, 2>{{
    {ContinuationFault::NoEventId, "no_event_id"},
    {ContinuationFault::OutOfOrder, "out_of_order"},
}};

/// State of a streamed response whose events may come from several runs, one after another: if a run breaks off, the next one
/// continues after the last complete event. Event ids count up by one. Does no I/O.
class StreamContinuation
{
public:
    /// `callerLastEvent`: id of the last event that the caller has received in an earlier response; none if it has received none.
    explicit StreamContinuation(std::optional<std::uint64_t> callerLastEvent)
        : m_lastEvent(callerLastEvent)
    {}

    /// Starts to read the response of another run. Drops the incomplete event of the run before.
    auto beginRun() -> void;

    /// Adds bytes of the run's response. Returns the complete events among them, to be sent to the caller; empty if there are
    /// none or after a fault.
    auto feed(std::string_view bytes) -> std::string;

    /// Returns the bytes after the last event of a response that ended completely.
    auto takeRemainder() -> std::string;

    /// Whether the current run has sent a part of an event, but not its end.
    auto isInsideEvent() const -> bool;

    /// Id of the last event that was returned, here or in the caller's earlier response; the next run continues after it.
    auto lastEvent() const -> std::optional<std::uint64_t> { return m_lastEvent; }

    /// The reason for which the current run is of no use.
    auto fault() const -> std::optional<ContinuationFault> { return m_fault; }

    /// Number of runs that were started.
    auto runs() const -> int { return m_runs; }

private:
    auto accept(std::string_view event) -> bool;

    std::optional<std::uint64_t> m_lastEvent;
    std::optional<ContinuationFault> m_fault;
    std::string m_pending;     ///< bytes of the current run after its last complete event
    std::size_t m_scanned = 0; ///< bytes of `m_pending` that contain no end of an event
    int m_runs = 0;
};

} // namespace laburnummill::serving
