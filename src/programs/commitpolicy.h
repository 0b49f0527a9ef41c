#pragma once

#include "framework/global/time.h"
#include "store/storehealth.h"

namespace laburnummill::programs {

/// What the end of an answer waits for while its turn is not in the store yet.
enum class CommitStep
{
    AwaitStore, ///< the store answers, if late: only a stored turn outlives the loss of all hosts
    Replicate,  ///< the store is away: the turn is kept in the memory of several hosts
    GiveUp,     ///< the caller waits no longer, and the answer must not end as if it were whole
};

/// `endBy`: until when the caller waits. `isRejected`: the store does not accept the turn, so that waiting is of no use.
auto nextCommitStep(store::StoreState state, bool isRejected, framework::Instant now, framework::Instant endBy) -> CommitStep;

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
