#include "calls/internal/retryplan.h"

#include <algorithm>

namespace laburnummill::calls {

using framework::Instant;
using framework::Milliseconds;

namespace {

constexpr auto s_maxTries = 4U;
constexpr auto s_baseDelay = Milliseconds(20);
constexpr auto s_maxDelay = Milliseconds(1'000);

} // namespace

auto RetryBudget::creditCall() -> void
{
    m_retries = std::min(s_maxRetries, m_retries + s_earnedPerCall);
}

auto RetryBudget::spend() -> bool
{
    if (m_retries < 1.0) {
        return false;
    }
    m_retries -= 1.0;
    return true;
}

RetryPlan::RetryPlan(RetryBudget& budget, std::uint64_t seed)
    : m_budget(budget)
    , m_random(seed)
{}

auto RetryPlan::nextDelay(Instant now, Instant deadline) -> std::optional<Milliseconds>
{
    if (++m_tries >= s_maxTries) {
        return std::nullopt;
    }
    const auto upperBound = std::min(s_maxDelay, s_baseDelay * (1U << m_tries));
    const auto delay = Milliseconds(std::uniform_int_distribution<std::int64_t>(1, upperBound.count())(m_random));
    if (now + delay >= deadline || !m_budget.spend()) {
        return std::nullopt;
    }
    return delay;
}

} // namespace laburnummill::calls
