#include "rollouts/rollouttypes.h"

namespace laburnummill::rollouts {

namespace {

/// Operators accept that a bad version gets a tenth of the requests of the whole rollout. Both shares together use half of that before
/// all requests move.
constexpr auto s_canaryShare = 0.06;
constexpr auto s_raisedShare = 0.25;

} // namespace

auto shareOf(RolloutStage stage) -> double
{
    switch (stage) {
    case RolloutStage::Waiting:
    case RolloutStage::RolledBack:
        return 0;
    case RolloutStage::Canary:
        return s_canaryShare;
    case RolloutStage::Raised:
        return s_raisedShare;
    case RolloutStage::Full:
    case RolloutStage::Done:
        return 1;
    }
    return 0;
}

} // namespace laburnummill::rollouts
