#include "rollouts/rolloutplan.h"

#include <algorithm>

namespace laburnummill::rollouts {

namespace {

using framework::Milliseconds;

/// Fractions of the ordered time. Versions may turn out bad only after a while, so that the canary uses about half of it; all requests move
/// early enough for those at the old version to end.
constexpr auto s_latestServers = 0.5;
constexpr auto s_canaryUntil = 0.45;
constexpr auto s_canaryAtLeast = 0.12;
constexpr auto s_canaryAtMost = 0.6;
constexpr auto s_raisedFor = 0.12;
constexpr auto s_raisedUntilAtMost = 0.75;

/// A stage lasts at least this long: hosts learn of it within a second.
constexpr auto s_shortestStage = Milliseconds(1'000);

/// Responses of the new version after which a fault in one of twenty is rarely missed.
constexpr auto s_enoughResponses = std::uint64_t{60};

/// Reports of all hosts on the requests at the old version arrive within this time.
constexpr auto s_idleTime = Milliseconds(1'500);

auto part(Milliseconds duration, double fraction) -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(duration * fraction);
}

auto afterCanary(const RolloutView& view) -> std::optional<StageChange>
{
    const auto isLongEnough = view.sinceStage >= std::max(s_shortestStage, part(view.duration, s_canaryAtLeast));
    if (isLongEnough && view.sinceOrder >= part(view.duration, s_canaryUntil) && view.newResponses >= s_enoughResponses &&
        view.verdict == EvidenceVerdict::Good) {
        return StageChange{.stage = RolloutStage::Raised, .reason = RolloutReason::EvidenceGood};
    }
    if (isLongEnough && view.sinceOrder >= part(view.duration, s_canaryAtMost)) {
        return StageChange{.stage = RolloutStage::Raised, .reason = RolloutReason::TimeShort};
    }
    return std::nullopt;
}

auto afterRaised(const RolloutView& view) -> std::optional<StageChange>
{
    if (view.sinceStage < std::max(s_shortestStage, part(view.duration, s_raisedFor))) {
        return std::nullopt;
    }
    // The evidence may have become doubtful since the canary; all requests would exceed the bound on a bad version within a second.
    if (view.verdict == EvidenceVerdict::Good) {
        return StageChange{.stage = RolloutStage::Full, .reason = RolloutReason::EvidenceGood};
    }
    if (view.sinceOrder >= part(view.duration, s_raisedUntilAtMost)) {
        return StageChange{.stage = RolloutStage::Full, .reason = RolloutReason::TimeShort};
    }
    return std::nullopt;
}

} // namespace

auto nextStage(const RolloutView& view) -> std::optional<StageChange>
{
    const auto back = [](RolloutReason reason) { return StageChange{.stage = RolloutStage::RolledBack, .reason = reason}; };
    if (isFinal(view.stage)) {
        return std::nullopt;
    }
    if (!view.isServiceKnown || view.duration <= Milliseconds(0)) {
        return back(RolloutReason::InvalidOrder);
    }
    if (view.isAlreadyServing) {
        return StageChange{.stage = RolloutStage::Done, .reason = RolloutReason::AlreadyServing};
    }
    if (view.verdict == EvidenceVerdict::Bad) {
        return back(RolloutReason::EvidenceBad);
    }
    if (view.isWithdrawn && view.stage != RolloutStage::Full) {
        return back(RolloutReason::Withdrawn);
    }
    switch (view.stage) {
    case RolloutStage::Waiting:
        if (view.newServers > 0) {
            return StageChange{.stage = RolloutStage::Canary, .reason = RolloutReason::ServersReady};
        }
        return view.sinceOrder >= part(view.duration, s_latestServers) ? std::optional(back(RolloutReason::NoServers)) : std::nullopt;
    case RolloutStage::Canary:
        return afterCanary(view);
    case RolloutStage::Raised:
        return afterRaised(view);
    case RolloutStage::Full:
        if (view.sinceStage >= s_shortestStage && view.oldVersionIdleFor >= s_idleTime) {
            return StageChange{.stage = RolloutStage::Done, .reason = RolloutReason::OldVersionIdle};
        }
        return std::nullopt;
    case RolloutStage::Done:
    case RolloutStage::RolledBack:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace laburnummill::rollouts
