#include "programs/internal/budget.h"
#include "programs/programerrors.h"

#include <CppUTest/TestHarness.h>

using laburnummill::configuration::ProgramLimits;
using laburnummill::programs::Budget;
using laburnummill::programs::ProgramError;

namespace {

constexpr auto s_limits = ProgramLimits{3, 100, 1'000, 10'000};

} // namespace

TEST_GROUP(Budget)
{
    Budget budget{0, 0, 5'000};
};

TEST(Budget, reservesTokensBeforeATurnAndSettlesThemAfterIt)
{
    // Two concurrent sub-agents share the budget.
    CHECK_TRUE(budget.reserve(60, 5'000, s_limits).has_value());
    CHECK_TRUE(budget.reserve(60, 5'000, s_limits).error() == ProgramError::BudgetTokens);

    // Tokens that the first does not use become available to the second.
    budget.settle(60, 20);
    CHECK_TRUE(budget.reserve(60, 5'000, s_limits).has_value());
    LONGS_EQUAL(20, budget.tokens());

    // The reservation of a turn that left no record is cancelled.
    budget.cancel(60);
    LONGS_EQUAL(0, budget.reservedTokens());
    LONGS_EQUAL(1, budget.turns());
}

TEST(Budget, refusesTurnsBeyondTheLimit)
{
    for (auto turn = 0; turn < 3; ++turn) {
        CHECK_TRUE(budget.reserve(0, 5'000, s_limits).has_value());
        budget.settle(0, 1);
    }
    CHECK_TRUE(budget.reserve(0, 5'000, s_limits).error() == ProgramError::BudgetTurns);
}

TEST(Budget, refusesTurnsAfterTheMaximumDuration)
{
    CHECK_TRUE(budget.reserve(0, 6'000, s_limits).has_value());
    CHECK_TRUE(budget.reserve(0, 6'001, s_limits).error() == ProgramError::BudgetTime);
}
