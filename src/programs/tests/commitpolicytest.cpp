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
    CommitView view{
        .store = StoreState::Prompt, .isAwayAlone = false, .history = TurnHistory::KeptByHosts, .isRejected = false, .endBy = endBy};
};

TEST(CommitPolicy, aStoreThatAnswersIsWaitedForUntilTheTimeLimit)
{
    for (const auto state : {StoreState::Prompt, StoreState::Slow}) {
        view.store = state;
        CHECK_TRUE(nextCommitStep(view, now) == CommitStep::AwaitStore);
        CHECK_TRUE(nextCommitStep(view, view.endBy) == CommitStep::GiveUp);
    }
}

// Guards against the losses of review/9 and review/13: copies in the memory of hosts that may all be lost were taken for as durable as a
// row.
TEST(CommitPolicy, memoryNeverStandsInForAStoreThatIsAway)
{
    view.store = StoreState::Away;
    CHECK_TRUE(nextCommitStep(view, now) == CommitStep::AwaitStore);
    CHECK_TRUE(nextCommitStep(view, view.endBy) == CommitStep::GiveUp);
    for (const auto scope : {OutageScope::Undecided, OutageScope::CutOff}) {
        CHECK_EQUAL(scope == OutageScope::CutOff, mustBeServedElsewhere(view.store, view.isAwayAlone, scope));
        CHECK_FALSE(mustBeServedElsewhere(StoreState::Slow, view.isAwayAlone, scope));
    }
}

// Guards against the loss of review/11: one partition that was away by itself counted as an outage of the whole store.
TEST(CommitPolicy, memoryNeverStandsInForAStoreThatAnswersForOtherPartitions)
{
    view.store = StoreState::Away;
    view.isAwayAlone = true;
    CHECK_TRUE(nextCommitStep(view, now) == CommitStep::StoreElsewhere);
    CHECK_TRUE(nextCommitStep(view, view.endBy) == CommitStep::GiveUp);
    for (const auto scope : {OutageScope::Undecided, OutageScope::CutOff}) {
        // Hosts in a cut may be silent meanwhile, which does not make this one cut off.
        CHECK_FALSE(mustBeServedElsewhere(view.store, view.isAwayAlone, scope));
    }
    view.isRejected = true;
    CHECK_TRUE(nextCommitStep(view, now) == CommitStep::GiveUp);
}

TEST(CommitPolicy, aTurnThatTheStoreRejectsIsNotCalledWhole)
{
    view.isRejected = true;
    for (const auto state : {StoreState::Prompt, StoreState::Slow, StoreState::Away}) {
        view.store = state;
        CHECK_TRUE(nextCommitStep(view, now) == CommitStep::GiveUp);
    }
}

TEST(CommitPolicy, aTurnWhoseHistoryTheCallerKeepsNeedsNoRow)
{
    view.history = TurnHistory::SentByCaller;
    view.store = StoreState::Away;
    CHECK_TRUE(nextCommitStep(view, now) == CommitStep::Replicate);
    view = {.store = StoreState::Prompt, .isAwayAlone = false, .history = TurnHistory::SentByCaller, .isRejected = true, .endBy = endBy};
    CHECK_TRUE(nextCommitStep(view, now) == CommitStep::Replicate);
}

TEST(CommitPolicy, aTurnThatASlowStoreCannotTakeInTimeIsNotBegun)
{
    pace.record(StoreState::Slow, Milliseconds(800));
    CHECK_TRUE(pace.canEndBy(StoreState::Slow, now, endBy));
    CHECK_FALSE(pace.canEndBy(StoreState::Slow, now + Milliseconds(300), endBy));
    CHECK_TRUE(pace.canEndBy(StoreState::Prompt, now + Milliseconds(300), endBy));
    CHECK_TRUE(pace.canEndBy(StoreState::Away, now + Milliseconds(300), endBy));
}
