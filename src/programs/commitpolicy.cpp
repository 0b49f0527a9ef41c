#include "programs/commitpolicy.h"

namespace laburnummill::programs {

auto nextCommitStep(store::StoreState state, bool isRejected, framework::Instant now, framework::Instant endBy) -> CommitStep
{
    if (isRejected || state == store::StoreState::Away) {
        return CommitStep::Replicate;
    }
    return now >= endBy ? CommitStep::GiveUp : CommitStep::AwaitStore;
}

} // namespace laburnummill::programs
