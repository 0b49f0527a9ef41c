#include "programs/commitpolicy.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::store::StoreState;

TEST_GROUP(CommitPolicy)
{
    Instant now = Instant(Milliseconds(10'000));
    Instant endBy = now + Milliseconds(1'000);
    CommitPace pace;
};

TEST(CommitPolicy, aStoreThatAnswersIsWaitedForUntilTheTimeLimit)
{
    CHECK_TRUE(nextCommitStep(StoreState::Prompt, false, now, endBy) == CommitStep::AwaitStore);
    CHECK_TRUE(nextCommitStep(StoreState::Slow, false, now, endBy) == CommitStep::AwaitStore);
    CHECK_TRUE(nextCommitStep(StoreState::Slow, false, endBy, endBy) == CommitStep::GiveUp);
}

TEST(CommitPolicy, memoryStandsInForAStoreThatIsAwayOrRejectsTheTurn)
{
    CHECK_TRUE(nextCommitStep(StoreState::Away, false, now, endBy) == CommitStep::Replicate);
    CHECK_TRUE(nextCommitStep(StoreState::Prompt, true, now, endBy) == CommitStep::Replicate);
}

TEST(CommitPolicy, aTurnThatASlowStoreCannotTakeInTimeIsNotBegun)
{
    pace.record(StoreState::Slow, Milliseconds(800));
    CHECK_TRUE(pace.canEndBy(StoreState::Slow, now, endBy));
    CHECK_FALSE(pace.canEndBy(StoreState::Slow, now + Milliseconds(300), endBy));
    CHECK_TRUE(pace.canEndBy(StoreState::Prompt, now + Milliseconds(300), endBy));
    CHECK_TRUE(pace.canEndBy(StoreState::Away, now + Milliseconds(300), endBy));
}
