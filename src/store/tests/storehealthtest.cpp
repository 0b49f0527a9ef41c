#include "store/storehealth.h"
#include "store/storeerrors.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::store;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(StoreHealth)
{
    StoreHealth health;
    Instant now = Instant(Milliseconds(10'000));

    auto call(const std::string& partition, Milliseconds took, std::error_code error = {})->void
    {
        const auto id = health.begin(partition, now);
        now += took;
        health.end(id, error, now);
    }

    auto is(StoreState state, const std::string& partition = "t1")->bool
    {
        return health.state(partition, now) == state;
    }
};

TEST_GROUP_BASE(SlowStoreHealth, TEST_GROUP_CppUTestGroupStoreHealth){void setup() override{call("t1", Milliseconds(540));
}
}
;

TEST(StoreHealth, aStoreThatAnswersInTimeIsPrompt)
{
    call("t1", Milliseconds(10));
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(StoreHealth, aRefusalOfAllWaysMeansThatItIsAway)
{
    call("t1", Milliseconds(10));
    call("t1", Milliseconds(5), StoreError::Unavailable);
    CHECK_TRUE(is(StoreState::Away));
    call("t1", Milliseconds(10));
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(StoreHealth, aStoreThatSaysItHasTooManyCallsIsNotAway)
{
    call("t1", Milliseconds(10), StoreError::Overloaded);
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(StoreHealth, oneAnswerThatIsLostAmongOthersDoesNotMeanThatItIsAway)
{
    const auto lost = health.begin("t1", now);
    call("t1", Milliseconds(10));
    now += Milliseconds(690);
    CHECK_TRUE(is(StoreState::Prompt));
    health.end(lost, StoreError::OutcomeUnknown, now);
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(StoreHealth, onePartitionCanBeAwayWhileOthersAnswer)
{
    (void)health.begin("t1", now);
    now += Milliseconds(650);
    call("t2", Milliseconds(10));
    now += Milliseconds(50);
    CHECK_TRUE(is(StoreState::Away));
    CHECK_TRUE(is(StoreState::Prompt, "t2"));
    CHECK_EQUAL(1U, health.awayPartitions(now).size());
}

TEST(SlowStoreHealth, aCallThatWaitsForOthersOfItsPartitionDoesNotMeanThatItIsAway)
{
    (void)health.begin("t1", now);
    now += Milliseconds(900);
    CHECK_TRUE(is(StoreState::Slow));
    call("t2", Milliseconds(540));
    now += Milliseconds(1'000);
    CHECK_TRUE(is(StoreState::Slow));
    now += Milliseconds(1'000);
    CHECK_TRUE(is(StoreState::Away));
}

TEST(SlowStoreHealth, callsFromBeforeItBecamePromptAgainAreStillGivenTime)
{
    (void)health.begin("t1", now);
    now += Milliseconds(500);
    call("t2", Milliseconds(540));
    call("t2", Milliseconds(10));
    CHECK_TRUE(is(StoreState::Prompt, "t2"));
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(SlowStoreHealth, theReturnOfAStoreThatWasAwayIsNotTakenForALateAnswer)
{
    call("t1", Milliseconds(10));
    call("t1", Milliseconds(5), StoreError::Unavailable);
    call("t1", Milliseconds(300));
    CHECK_TRUE(is(StoreState::Prompt));
}
