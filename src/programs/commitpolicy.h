#pragma once

#include "framework/global/time.h"
#include "programs/outagescope.h"
#include "programs/turn.h"
#include "store/storehealth.h"

namespace laburnummill::programs {

/// What the end of an answer waits for while its turn is not in the store yet.
enum class CommitStep
{
    AwaitStore,     ///< only a stored turn outlives the loss of this host and of those that it reaches
    StoreElsewhere, ///< the turn is written to another partition
    Replicate,      ///< the tokens that the turn used are kept in the memory of several hosts
    GiveUp,         ///< the store does not take the turn in time, and the answer must not end as if it were whole
};

/// What the end of an answer rests on.
struct CommitView
{
    store::StoreState store = store::StoreState::Prompt; ///< for the partition of the turn
    bool isAwayAlone = false;                            ///< the store answers for other partitions
    TurnHistory history = TurnHistory::KeptByHosts;
    bool isRejected = false;    ///< the store does not accept the turn
    framework::Instant endBy{}; ///< until when the caller waits
};

/// Only a row outlives the loss of all hosts, which may come at any moment, also while the store answers none of them. A turn whose history
/// the hosts keep therefore never ends on copies in memory. A turn whose history the caller keeps has no row that others need: its
/// copies only tell of the tokens that it used.
auto nextCommitStep(const CommitView& view, framework::Instant now) -> CommitStep;

/// Whether a turn that begins now cannot be stored, although hosts elsewhere could serve it. A host that the store answers for other
/// partitions is not cut off, whatever it has to assume of hosts that it does not hear.
auto mustBeServedElsewhere(store::StoreState state, bool isAwayAlone, OutageScope outage) -> bool;

/// Estimates how long the end of an answer waits for a slow store, from those that have waited lately.
class CommitPace
{
public:
    auto record(store::StoreState state, framework::Milliseconds took) -> void;

    /// Whether a turn that begins now can be stored by `endBy`, even if its answer took no time.
    auto canEndBy(store::StoreState state, framework::Instant now, framework::Instant endBy) const -> bool;

private:
    double m_averageMs = 0; ///< of turns that were stored while the store was slow
};

} // namespace laburnummill::programs
