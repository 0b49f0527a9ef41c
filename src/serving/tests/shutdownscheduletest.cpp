#include "serving/shutdownschedule.h"

#include <CppUTest/TestHarness.h>

using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::serving::ShutdownSchedule;

TEST_GROUP(ShutdownSchedule)
{
    ShutdownSchedule schedule;
    const Instant signal = Instant() + Milliseconds(100'000);

    auto after(int milliseconds) const->Instant
    {
        return signal + Milliseconds(milliseconds);
    }

    auto mayAccept(int at, int timeout) const->bool
    {
        return schedule.mayAccept(after(at + timeout));
    }
};

TEST(ShutdownSchedule, aHostThatIsNotStoppingAcceptsEverything)
{
    CHECK_FALSE(schedule.hasBegun());
    CHECK_TRUE(mayAccept(0, 60'000));
}

TEST_GROUP_BASE(ShutdownScheduleOfAStoppingHost,
                TEST_GROUP_CppUTestGroupShutdownSchedule){void setup() override{schedule.begin(signal, Milliseconds(8'000));
}
}
;

TEST(ShutdownScheduleOfAStoppingHost, keepsIdleConnectionsUntilLoadBalancersHaveNoticed)
{
    CHECK_TRUE(schedule.hasBegun());
    CHECK_FALSE(schedule.haveBalancersNoticed(after(2'400)));
    CHECK_TRUE(schedule.haveBalancersNoticed(after(2'500)));
}

TEST(ShutdownScheduleOfAStoppingHost, acceptsOnlyWhatIsCompleteBeforeItsEnd)
{
    CHECK_FALSE(mayAccept(0, 60'000));
    CHECK_TRUE(mayAccept(2'600, 4'000));
    CHECK_FALSE(mayAccept(2'700, 4'000));
    CHECK_TRUE(mayAccept(5'400, 1'200));
    CHECK_FALSE(mayAccept(5'500, 1'200));
    CHECK_FALSE(mayAccept(7'000, 300));
}

TEST(ShutdownScheduleOfAStoppingHost, endsBeforeItIsKilled)
{
    CHECK_FALSE(schedule.mustEnd(after(7'200)));
    CHECK_TRUE(schedule.mustEnd(after(7'300)));
}

TEST(ShutdownScheduleOfAStoppingHost, whatItAcceptsLateIsCompleteBeforeItMustEndForEveryTimeout)
{
    for (auto at = 0; at < 8'000; at += 20) {
        for (auto timeout = 20; timeout < 8'000; timeout += 20) {
            CHECK_TRUE(!mayAccept(at, timeout) || !schedule.mustEnd(after(at + timeout)));
        }
    }
}

TEST(ShutdownSchedule, aShortGracePeriodStillEndsWithWhatWasAcceptedComplete)
{
    for (const auto grace : {2'000, 3'000, 4'000}) {
        auto stopping = ShutdownSchedule();
        stopping.begin(signal, Milliseconds(grace));
        for (auto at = 0; at < grace; at += 20) {
            const auto deadline = after(at + 1'000);
            CHECK_TRUE(!stopping.mayAccept(deadline) || !stopping.mustEnd(deadline));
        }
    }
}
