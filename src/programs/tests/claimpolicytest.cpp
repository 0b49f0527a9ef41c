#include "programs/claimpolicy.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using laburnummill::framework::Milliseconds;

TEST_GROUP(ClaimPolicy){
    static auto state(std::uint64_t unclaimed)->ClaimState{return {.budget = 2'240, .unclaimedTokens = unclaimed, .turnTokens = 280};
}
}
;

TEST(ClaimPolicy, leavesHalfOfTheBudgetUnclaimed)
{
    CHECK_EQUAL(840U, ClaimPolicy::claimableAhead(state(2'240), 280));
    CHECK_EQUAL(0U, ClaimPolicy::claimableAhead(state(1'400), 280));
    CHECK_EQUAL(0U, ClaimPolicy::claimableAhead(state(100), 280));
}

TEST(ClaimPolicy, leavesMoreThanOneTurnOfASmallBudget)
{
    CHECK_EQUAL(350U, ClaimPolicy::sharedTokens(600, 280));
}

TEST(ClaimPolicy, givesBackWhatIsScarceSoonAfterATurn)
{
    const auto scarce = state(1'000);
    CHECK_EQUAL(0U, ClaimPolicy::tokensToRelease(scarce, 250, Milliseconds(0)));
    CHECK_EQUAL(120U, ClaimPolicy::tokensToRelease(scarce, 250, Milliseconds(200)));
    CHECK_EQUAL(0U, ClaimPolicy::tokensToRelease(state(1'200), 250, Milliseconds(200)));
}

TEST(ClaimPolicy, givesEverythingBackOnceItsProgramPauses)
{
    CHECK_EQUAL(250U, ClaimPolicy::tokensToRelease(state(1'200), 250, Milliseconds(3'000)));
}
