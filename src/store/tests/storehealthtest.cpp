#include "store/storehealth.h"
#include "framework/global/manualclock.h"
#include "framework/global/responsiveclock.h"
#include "store/storeerrors.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::store;
using laburnummill::framework::ManualClock;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::ResponsiveClock;

TEST_GROUP(StoreHealth)
{
    ManualClock clock;
    StoreHealth health{clock};

    void setup() override
    {
        clock.advance(Milliseconds(10'000));
    }

    auto call(const std::string& partition, Milliseconds took, std::error_code error = {})->void
    {
        const auto id = health.begin(partition);
        clock.advance(took);
        health.end(id, error);
    }

    auto is(StoreState state, const std::string& partition = "t1")->bool
    {
        return health.state(partition) == state;
    }
};

TEST_GROUP_BASE(SlowStoreHealth, TEST_GROUP_CppUTestGroupStoreHealth){void setup() override{TEST_GROUP_CppUTestGroupStoreHealth::setup();
call("t1", Milliseconds(540));
}
}
;

/// The host handles no event for 900 ms, while the store answers in time.
TEST_GROUP(StoreHealthOfABusyHost)
{
    ManualClock clock;
    ResponsiveClock responsive{clock, Milliseconds(50)};
    StoreHealth health{responsive};

    auto runFor(Milliseconds time)->void
    {
        for (auto passed = Milliseconds(0); passed < time; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            responsive.tick();
        }
    }
};

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
    const auto lost = health.begin("t1");
    call("t1", Milliseconds(10));
    clock.advance(Milliseconds(690));
    CHECK_TRUE(is(StoreState::Prompt));
    health.end(lost, StoreError::OutcomeUnknown);
    CHECK_TRUE(is(StoreState::Prompt));
}

TEST(StoreHealth, onePartitionCanBeAwayWhileOthersAnswer)
{
    (void)health.begin("t1");
    clock.advance(Milliseconds(650));
    call("t2", Milliseconds(10));
    clock.advance(Milliseconds(50));
    CHECK_TRUE(is(StoreState::Away));
    CHECK_TRUE(is(StoreState::Prompt, "t2"));
    CHECK_EQUAL(1U, health.awayPartitions().size());
}

TEST(SlowStoreHealth, aCallThatWaitsForOthersOfItsPartitionDoesNotMeanThatItIsAway)
{
    (void)health.begin("t1");
    clock.advance(Milliseconds(900));
    CHECK_TRUE(is(StoreState::Slow));
    call("t2", Milliseconds(540));
    clock.advance(Milliseconds(1'000));
    CHECK_TRUE(is(StoreState::Slow));
    clock.advance(Milliseconds(1'000));
    CHECK_TRUE(is(StoreState::Away));
}

TEST(SlowStoreHealth, callsFromBeforeItBecamePromptAgainAreStillGivenTime)
{
    (void)health.begin("t1");
    clock.advance(Milliseconds(500));
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

// Guards against hosts short of processor time that took the store for slow or away because they handled its answers late.
TEST(StoreHealthOfABusyHost, anAnswerThatTheHostHandlesLateSaysNothingOfTheStore)
{
    const auto call = health.begin("t1");
    clock.advance(Milliseconds(900));
    CHECK_TRUE(health.state("t1") == StoreState::Prompt);
    health.end(call, {});
    responsive.tick();
    CHECK_TRUE(health.state("t1") == StoreState::Prompt);
    CHECK_FALSE(health.isSlow());
}

TEST(StoreHealthOfABusyHost, aSilentStoreIsNoticedOnceTheHostHandlesEventsAgain)
{
    const auto silent = health.begin("t1");
    clock.advance(Milliseconds(900));
    responsive.tick();
    runFor(Milliseconds(550));
    CHECK_TRUE(health.state("t1") == StoreState::Prompt);
    runFor(Milliseconds(100));
    CHECK_TRUE(health.state("t1") == StoreState::Away);
    health.abandon(silent);
}

TEST(StoreHealthOfABusyHost, aSlowStoreIsNoticedByAHostThatIsAlwaysLate)
{
    const auto call = health.begin("t1");
    for (auto turn = 0; turn < 3; ++turn) {
        clock.advance(Milliseconds(200));
        responsive.tick();
    }
    health.end(call, {});
    CHECK_TRUE(health.isSlow());
}

TEST(StoreHealth, aPartitionThatDoesNotAnswerBesideOthersIsAwayAlone)
{
    const auto silent = health.begin("t1");
    for (auto waited = 0; waited < 10; ++waited) {
        clock.advance(Milliseconds(80));
        call("t2", Milliseconds(10));
    }
    CHECK_TRUE(is(StoreState::Away, "t1"));
    CHECK_TRUE(health.isAwayAlone("t1"));
    CHECK_FALSE(health.isAwayAlone("t2"));
    health.end(silent, StoreError::OutcomeUnknown);
    CHECK_TRUE(health.isAwayAlone("t1"));
    clock.advance(Milliseconds(1'100));
    CHECK_FALSE(health.isAwayAlone("t1")); // Nothing tells that the store still answers.
}

// Guards against hosts that take a cut for an outage of one partition because of answers that came just before it.
TEST(StoreHealth, answersThatCameBeforeACutDoNotShowThatTheStoreAnswers)
{
    call("t2", Milliseconds(10));
    const auto lost = health.begin("t1");
    call("t2", Milliseconds(10)); // On its way when the cut began.
    call("t3", Milliseconds(5), StoreError::Unavailable);
    clock.advance(Milliseconds(710));
    CHECK_TRUE(is(StoreState::Away, "t1"));
    CHECK_FALSE(health.isAwayAlone("t1"));
    CHECK_FALSE(health.isAwayAlone("t3"));
    health.end(lost, StoreError::OutcomeUnknown);
    CHECK_FALSE(health.isAwayAlone("t1"));
}

TEST(StoreHealth, aPartitionWhoseCallsStayBehindLaterOnesToOthersIsAwayAloneSooner)
{
    (void)health.begin("t1");
    clock.advance(Milliseconds(150));
    call("t2", Milliseconds(10));
    clock.advance(Milliseconds(130));
    CHECK_TRUE(is(StoreState::Prompt, "t1"));
    clock.advance(Milliseconds(20));
    CHECK_TRUE(is(StoreState::Away, "t1"));
    CHECK_TRUE(health.isAwayAlone("t1"));
}

TEST(StoreHealth, anAnswerThatIsLostIsNotTakenForAPartitionThatIsAway)
{
    const auto lost = health.begin("t1");
    clock.advance(Milliseconds(5));
    call("t1", Milliseconds(10));
    clock.advance(Milliseconds(150));
    call("t2", Milliseconds(10));
    clock.advance(Milliseconds(200));
    CHECK_TRUE(is(StoreState::Prompt, "t1"));
    health.abandon(lost);
}

TEST(StoreHealth, aPartitionThatOtherHostsReportIsAwayOnceACallToItTakesLong)
{
    health.setReportedAway({"t1"});
    CHECK_TRUE(is(StoreState::Prompt, "t1")); // The report alone is no proof.
    (void)health.begin("t1");
    (void)health.begin("t2");
    clock.advance(Milliseconds(70));
    CHECK_TRUE(is(StoreState::Away, "t1"));
    CHECK_TRUE(is(StoreState::Prompt, "t2"));
    health.setReportedAway({});
    CHECK_TRUE(is(StoreState::Prompt, "t1"));
}

TEST(StoreHealth, isSilentOnceCallsHaveWaitedAndNoneWasAnswered)
{
    CHECK_FALSE(health.isSilentFor(Milliseconds(250)));
    const auto open = health.begin("t1");
    clock.advance(Milliseconds(240));
    CHECK_FALSE(health.isSilentFor(Milliseconds(250)));
    clock.advance(Milliseconds(20));
    CHECK_TRUE(health.isSilentFor(Milliseconds(250)));
    call("t2", Milliseconds(10));
    CHECK_FALSE(health.isSilentFor(Milliseconds(250)));
    health.end(open, StoreError::Unavailable);
    clock.advance(Milliseconds(260));
    CHECK_TRUE(health.isSilentFor(Milliseconds(250)));
}
