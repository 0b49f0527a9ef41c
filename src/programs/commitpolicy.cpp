#include "programs/commitpolicy.h"

namespace laburnummill::programs {

namespace {

/// Of the latest turn in the average.
constexpr auto s_weight = 0.2;

} // namespace

auto nextCommitStep(store::StoreState state, bool isRejected, framework::Instant now, framework::Instant endBy) -> CommitStep
{
    if (isRejected || state == store::StoreState::Away) {
        return CommitStep::Replicate;
    }
    return now >= endBy ? CommitStep::GiveUp : CommitStep::AwaitStore;
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
