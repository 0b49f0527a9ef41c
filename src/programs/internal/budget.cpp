#include "programs/internal/budget.h"

#include "programs/programerrors.h"

namespace laburnummill::programs {

Budget::Budget(std::uint32_t turns, std::uint64_t tokens, std::uint64_t startedAtMs)
    : m_turns(turns)
    , m_tokens(tokens)
    , m_startedAtMs(startedAtMs)
{}

auto Budget::reserve(std::uint64_t tokens, std::uint64_t wallMs, const configuration::ProgramLimits& limits) -> framework::Result<void>
{
    if (m_turns + m_reservedTurns >= limits.maxTurns) {
        return ProgramError::BudgetTurns;
    }
    if (m_tokens + m_reservedTokens + tokens > limits.maxTokens) {
        return ProgramError::BudgetTokens;
    }
    if (wallMs > m_startedAtMs + limits.maxDurationMs) {
        return ProgramError::BudgetTime;
    }
    reserveUnchecked(tokens);
    return framework::success();
}

auto Budget::reserveUnchecked(std::uint64_t tokens) -> void
{
    ++m_reservedTurns;
    m_reservedTokens += tokens;
}

auto Budget::cancel(std::uint64_t reservedTokens) -> void
{
    --m_reservedTurns;
    m_reservedTokens -= reservedTokens;
}

auto Budget::settle(std::uint64_t reservedTokens, std::uint64_t usedTokens) -> void
{
    cancel(reservedTokens);
    ++m_turns;
    m_tokens += usedTokens;
}

} // namespace laburnummill::programs
