#pragma once

#include <system_error>

namespace laburnummill::programs {

enum class ProgramError
{
    Unknown = 1,
    Ended,
    WrongAccount, ///< the program belongs to another client account
    TurnTaken,    ///< another call already has this turn
    TurnTooEarly, ///< the preceding turn did not arrive in time
    BudgetTurns,
    BudgetTokens,
    BudgetTime,
    HistoryUnavailable,
    HistoryBroken, ///< a turn is missing or does not follow its predecessor
    OwnerUnreachable,
};

auto make_error_code(ProgramError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::programs

template<>
struct std::is_error_code_enum<laburnummill::programs::ProgramError> : std::true_type
{};
