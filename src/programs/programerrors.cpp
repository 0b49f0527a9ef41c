#include "programs/programerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::programs {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<ProgramError>>({
    {ProgramError::Unknown, "program_unknown", "there is no such program", FailureKind::NotFound},
    {ProgramError::Ended, "program_ended", "the program has ended", FailureKind::Conflict},
    {ProgramError::WrongAccount, "program_unknown", "there is no such program", FailureKind::NotFound},
    {ProgramError::TurnTaken, "turn_passed", "the turn was taken by another call", FailureKind::Conflict},
    {ProgramError::TurnTooEarly, "turn_too_early", "the preceding turn did not arrive in time", FailureKind::Conflict},
    {ProgramError::BudgetTurns, "budget_turns", "the program has used up its turns", FailureKind::Forbidden},
    {ProgramError::BudgetTokens, "budget_tokens", "the program has used up its tokens", FailureKind::Forbidden},
    {ProgramError::BudgetTime, "budget_time", "the program has exceeded its maximum duration", FailureKind::Forbidden},
    {ProgramError::HistoryUnavailable, "history_unavailable", "the program's history cannot be read or kept at present",
     FailureKind::Unavailable},
    {ProgramError::HistoryBroken, "history_broken", "the program's history is incomplete or inconsistent", FailureKind::Unavailable},
    {ProgramError::OwnerUnreachable, "owner_unreachable", "the host that owns the program cannot be reached at present",
     FailureKind::Unavailable},
});

} // namespace

auto make_error_code(ProgramError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<ProgramError>("programs", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::programs
