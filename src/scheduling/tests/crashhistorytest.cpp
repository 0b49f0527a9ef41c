#include "scheduling/crashhistory.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::scheduling;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::Seconds;

TEST_GROUP(CrashHistory)
{
    CrashHistory here;
    CrashHistory there;
    Instant now{Seconds(100)};
    Fingerprint request = fingerprintOf("pub", "/a/b", "body");

    auto exchange()->void
    {
        here.merge(there.reports(32, now), now);
        there.merge(here.reports(32, now), now);
    }
};

TEST(CrashHistory, blocksARequestAfterThreeCrashesAcrossHosts)
{
    here.recordCrash(request, 1, now);
    there.recordCrash(request, 2, now);
    exchange();
    CHECK_FALSE(here.isBlocked(request, now));
    there.recordCrash(request, 3, now);
    exchange();
    CHECK_TRUE(here.isBlocked(request, now));
    CHECK_FALSE(here.isBlocked(fingerprintOf("pub", "/a/b", "other body"), now));
}

// Guards against review/5: one crash that ended three turns counted as three crashes.
TEST(CrashHistory, countsOneCrashThatEndsSeveralRequestsAtSeveralHostsOnce)
{
    for (auto turn = 0; turn < 3; ++turn) {
        here.recordCrash(request, 1, now + Milliseconds(turn));
        there.recordCrash(request, 1, now + Milliseconds(200 + turn));
    }
    exchange();
    CHECK_EQUAL(1U, here.crashes(request, now));
    CHECK_EQUAL(1U, there.crashes(request, now));
}

TEST(CrashHistory, countsFurtherCrashesOfTheSameServer)
{
    for (auto time = 0; time < 3; ++time) {
        here.recordCrash(request, 1, now + Seconds(4 * time));
    }
    CHECK_TRUE(here.isBlocked(request, now + Seconds(8)));
}

// Guards against crashes that were forgotten with the host that had seen them.
TEST(CrashHistory, outlivesTheHostThatSawTheCrashes)
{
    for (auto server = 1U; server <= 3; ++server) {
        there.recordCrash(request, server, now);
    }
    exchange();
    auto restarted = CrashHistory();
    now += Seconds(1);
    restarted.merge(here.reports(32, now), now);
    CHECK_TRUE(restarted.isBlocked(request, now));
    CHECK_EQUAL(3U, restarted.crashes(request, now));
    now += Seconds(60);
    CHECK_FALSE(restarted.isBlocked(request, now)); // What is passed on does not count for longer.
}

TEST(CrashHistory, anAnswerAtAnyHostClearsTheRequest)
{
    for (auto server = 1U; server <= 2; ++server) {
        here.recordCrash(request, server, now);
    }
    exchange();
    now += Seconds(1);
    there.recordAnswer(request, now);
    exchange();
    here.recordCrash(request, 3, now + Milliseconds(1));
    CHECK_EQUAL(1U, here.crashes(request, now));
    exchange();
    CHECK_FALSE(there.isBlocked(request, now));
}

TEST(CrashHistory, crashesExpireAfterOneMinute)
{
    for (auto server = 1U; server <= 3; ++server) {
        here.recordCrash(request, server, now);
    }
    CHECK_TRUE(here.isBlocked(request, now + Seconds(59)));
    CHECK_FALSE(here.isBlocked(request, now + Seconds(61)));
    here.removeExpired(now + Seconds(61));
    CHECK_EQUAL(0U, here.reports(32, now + Seconds(61)).size());
}

TEST(CrashHistory, reportsTheNewestCrashesIfThereAreTooMany)
{
    for (auto server = 1U; server <= 40; ++server) {
        here.recordCrash(request, server, now + Seconds(server));
    }
    now += Seconds(40);
    const auto reports = here.reports(32, now);
    CHECK_EQUAL(32U, reports.size());
    CHECK_EQUAL(40U, reports.front().server);
}

TEST(CrashHistory, addsTheCountsOfHostsOfAnEarlierRelease)
{
    here.recordCrash(request, 1, now);
    here.setCount("old", request, 2, now);
    CHECK_TRUE(here.isBlocked(request, now));
    here.setCount("old", request, 1, now);
    CHECK_FALSE(here.isBlocked(request, now));
}
