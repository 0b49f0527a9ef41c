#include "programs/commitpolicy.h"

namespace laburnummill::programs {

namespace {

/// Of the latest turn in the average.
constexpr auto s_weight = 0.2;

} // namespace

auto nextCommitStep(const CommitView& view, framework::Instant now) -> CommitStep
{
    const auto isAway = view.store == store::StoreState::Away;
    if (view.history == TurnHistory::SentByCaller && (isAway || view.isRejected)) {
        return CommitStep::Replicate;
    }
    if (view.isRejected) {
        return CommitStep::GiveUp;
    }
    if (now >= view.endBy) {
        return CommitStep::GiveUp;
    }
    return isAway && view.isAwayAlone ? CommitStep::StoreElsewhere : CommitStep::AwaitStore;
}

auto mustBeServedElsewhere(store::StoreState state, bool isAwayAlone, OutageScope outage) -> bool
{
    return state == store::StoreState::Away && !isAwayAlone && outage == OutageScope::CutOff;
}

auto CommitPace::record(store::StoreState state, framework::Milliseconds took) -> void
{
    if (state != store::StoreState::Slow) {
        m_averageMs = 0;
        return;
    }
    const auto tookMs = static_cast<double>(took.count());
    m_averageMs = m_averageMs == 0 ? tookMs : m_averageMs + s_weight * (tookMs - m_averageMs);
}

auto CommitPace::canEndBy(store::StoreState state, framework::Instant now, framework::Instant endBy) const -> bool
{
    const auto expected = framework::Milliseconds(static_cast<std::int64_t>(m_averageMs));
    return state != store::StoreState::Slow || now + expected <= endBy;
}

} // namespace laburnummill::programs
