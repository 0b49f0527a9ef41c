#pragma once

#include "framework/global/time.h"

namespace laburnummill::programs {

/// What is known of a turn that could begin while the store answers no host.
struct TurnStartView
{
    framework::Instant arrivedAt{};
    framework::Instant endBy{};                   ///< until when its caller waits for the whole answer
    framework::Milliseconds callerIdleTimeout{0}; ///< the longest pause, also before the first event, that the caller waits for
    framework::Milliseconds expectedRunTime{0};   ///< from its start at a backend server to its last event
    framework::Milliseconds expectedFirstWait{0}; ///< from its start at a backend server to its first event
};

/// Decides when a turn begins that cannot be stored at present, because the store answers no host. Does no I/O.
///
/// A turn ends once its row is stored. Until then its answer pauses after the last event, and a caller whose idle
/// timeout expires leaves: what the server generated was for nothing, its tokens count towards the program's budget, and the turn is sent
/// again. A turn that begins later in its time limit is awaited for longer into the outage by the same caller, without having used a server
/// meanwhile. If the store returns before it begins, it begins at once, and ends later by its run time at most.
class TurnStart
{
public:
    /// When the turn begins at the latest, so that a caller who waits from its arrival waits until `endBy`.
    static auto latest(const TurnStartView& view) -> framework::Instant;

    /// Until when a turn that cannot begin without the store, because it lacks tokens, waits for it: a run after that would not end in
    /// time.
    static auto latestWithStore(const TurnStartView& view) -> framework::Instant;
};

} // namespace laburnummill::programs
