#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/result.h"

#include <cstdint>

namespace laburnummill::programs {

/// Shared budget of a root program and its sub-agents. A turn's share is reserved before dispatch and settled after it, so that
/// concurrent sub-agents cannot exceed the budget.
class Budget
{
public:
    Budget(std::uint32_t turns, std::uint64_t tokens, std::uint64_t startedAtMs);

    /// Reserves one turn and `tokens`. Fails with BudgetTurns, BudgetTokens or BudgetTime if a limit is exceeded.
    auto reserve(std::uint64_t tokens, std::uint64_t wallMs, const configuration::ProgramLimits& limits) -> framework::Result<void>;

    /// Reserves without checking limits: for turns that ran under a previous owner, and for tests.
    auto reserveUnchecked(std::uint64_t tokens) -> void;

    /// Cancels the reservation of a turn that left no record.
    auto cancel(std::uint64_t reservedTokens) -> void;

    /// Replaces a reservation by the tokens that the turn used.
    auto settle(std::uint64_t reservedTokens, std::uint64_t usedTokens) -> void;

    auto turns() const -> std::uint32_t { return m_turns; }
    auto tokens() const -> std::uint64_t { return m_tokens; }
    auto reservedTurns() const -> std::uint32_t { return m_reservedTurns; }
    auto reservedTokens() const -> std::uint64_t { return m_reservedTokens; }

private:
    std::uint32_t m_turns;
    std::uint64_t m_tokens;
    std::uint64_t m_startedAtMs;
    std::uint32_t m_reservedTurns = 0;
    std::uint64_t m_reservedTokens = 0;
};

} // namespace laburnummill::programs
