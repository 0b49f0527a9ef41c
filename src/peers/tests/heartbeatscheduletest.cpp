#include "peers/heartbeatschedule.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::peers;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(HeartbeatSchedule)
{
    HeartbeatSchedule pace;
    Instant now{Milliseconds(100'000)};

    /// When one is due after one was sent, asked step by step.
    auto timeUntilDue(int hosts, bool hasUrgentUpdates)->Milliseconds
    {
        pace.markSent(now);
        auto waited = HeartbeatSchedule::pollInterval(hosts);
        while (!pace.isDue(hosts, hasUrgentUpdates, now + waited)) {
            waited += HeartbeatSchedule::pollInterval(hosts);
        }
        return waited;
    }
};

TEST(HeartbeatSchedule, smallFleetSendsFivePerSecondRegardlessOfUrgency)
{
    CHECK_EQUAL(200, timeUntilDue(12, false).count());
    CHECK_EQUAL(200, timeUntilDue(12, true).count());
}

TEST(HeartbeatSchedule, largeFleetSendsLessOftenUnlessUrgent)
{
    CHECK_EQUAL(400, timeUntilDue(76, false).count());
    CHECK_EQUAL(100, timeUntilDue(76, true).count());
    CHECK_EQUAL(1'900, timeUntilDue(380, false).count());
    CHECK_EQUAL(100, timeUntilDue(380, true).count());
}

TEST(HeartbeatSchedule, firstHeartbeatIsDueImmediately)
{
    CHECK_TRUE(pace.isDue(76, false, now));
}
