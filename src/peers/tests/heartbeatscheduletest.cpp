#include "peers/heartbeatschedule.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::peers;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(HeartbeatSchedule)
{
    HeartbeatSchedule schedule;
    Instant now{Milliseconds(100'000)};

    /// Returns the time from one heartbeat to the next, at the resolution of pollInterval().
    auto timeUntilDue(int hosts, bool hasUrgentUpdates)->Milliseconds
    {
        schedule.markSent(now);
        auto waited = HeartbeatSchedule::pollInterval(hosts);
        while (!schedule.isDue(hosts, hasUrgentUpdates, now + waited)) {
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
    CHECK_TRUE(schedule.isDue(76, false, now));
}
