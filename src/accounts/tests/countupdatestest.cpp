#include "accounts/countupdates.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::accounts;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(CountUpdates)
{
    CountUpdates updates;
    FleetLimiter limiter{1};
    Instant now{Milliseconds(100'000)};

    void setup() override
    {
        limiter.setLimit("pub", 10, 10, now);
    }

    auto admit(int requests)->void
    {
        for (; requests > 0; --requests) {
            CHECK_TRUE(limiter.admit("pub", ProgramPhase::InProgress, now));
        }
    }
};

TEST(CountUpdates, reportsEachChangedCountThreeTimes)
{
    admit(3);
    for (auto time = 0; time < 3; ++time) {
        const auto reported = updates.take(limiter.admitted());
        CHECK_EQUAL(1U, reported.size());
        CHECK_EQUAL(3U, reported.front().admitted);
        CHECK_EQUAL(3U, reported.front().newly);
    }
    CHECK_TRUE(updates.take(limiter.admitted()).empty());
    admit(1);
    const auto reported = updates.take(limiter.admitted());
    CHECK_EQUAL(4U, reported.front().admitted);
    CHECK_EQUAL(1U, reported.front().newly);
}

TEST(CountUpdates, reportsLowerCountAfterGiveBack)
{
    admit(2);
    updates.take(limiter.admitted());
    limiter.giveBack("pub", now);
    const auto reported = updates.take(limiter.admitted());
    CHECK_EQUAL(1U, reported.front().admitted);
    CHECK_EQUAL(0U, reported.front().newly);
}

TEST(CountUpdates, unreportedCountNearLimitIsUrgent)
{
    CHECK_FALSE(updates.hasUrgentUpdate(limiter, now));
    admit(1); // One of the five tokens that a new host starts with.
    CHECK_TRUE(updates.hasUrgentUpdate(limiter, now));
    updates.take(limiter.admitted());
    CHECK_FALSE(updates.hasUrgentUpdate(limiter, now));
    now += Milliseconds(10'000);
    admit(1); // One of ten tokens.
    CHECK_FALSE(updates.hasUrgentUpdate(limiter, now));
    admit(2);
    CHECK_TRUE(updates.hasUrgentUpdate(limiter, now));
}
