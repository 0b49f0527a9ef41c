#pragma once

#include "rollouts/rollouttypes.h"
#include "rollouts/versionevidence.h"

#include <optional>

namespace laburnummill::rollouts {

/// What a host knows of a rollout when it considers the next stage. Times are on the host's own monotonic clock.
struct RolloutView
{
    RolloutStage stage = RolloutStage::Waiting;
    framework::Milliseconds sinceOrder{0};
    framework::Milliseconds sinceStage{0};
    framework::Milliseconds duration{0}; ///< ordered
    bool isServiceKnown = true;
    bool isWithdrawn = false;
    bool isAlreadyServing = false; ///< the ordered version is the one that serves
    int newServers = 0;            ///< that are warm
    EvidenceVerdict verdict = EvidenceVerdict::Open;
    std::uint64_t newResponses = 0;               ///< of the new version since the order
    framework::Milliseconds oldVersionIdleFor{0}; ///< time for which no host has reported a request at the old version
};

struct StageChange
{
    RolloutStage stage = RolloutStage::Waiting;
    RolloutReason reason = RolloutReason::Ordered;

    auto operator==(const StageChange&) const -> bool = default;
};

/// The next stage of a rollout; nullopt if it stays. All hosts that know the same come to the same result.
auto nextStage(const RolloutView& view) -> std::optional<StageChange>;

} // namespace laburnummill::rollouts
