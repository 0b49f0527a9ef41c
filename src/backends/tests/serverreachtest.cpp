#include "backends/serverreach.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::backends;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_known = std::size_t{12};

} // namespace

TEST_GROUP(ServerReach)
{
    ServerReach reach;
    Instant start{Milliseconds(100'000)};

    auto after(int milliseconds) const->Instant
    {
        return start + Milliseconds(milliseconds);
    }

    /// A probe that ends at `milliseconds`.
    auto probe(int milliseconds, bool isSuccessful)->void
    {
        const auto count = reach.probesDue(s_known, after(milliseconds));
        reach.beginProbe();
        if (isSuccessful) {
            reach.recordSuccess();
        }
        reach.endProbe(count, after(milliseconds));
    }
};

TEST(ServerReach, aSingleServerThatFailsIsNoReasonForAProbe)
{
    for (auto failure = 0; failure < 10; ++failure) {
        reach.recordFailure(1, after(failure * 100));
        CHECK_EQUAL(0, reach.probesDue(s_known, after(failure * 100)));
    }
}

TEST(ServerReach, failuresFarApartAreNoReasonForAProbe)
{
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(2'500));
    CHECK_EQUAL(0, reach.probesDue(s_known, after(2'500)));
}

TEST(ServerReach, theHostIsCutOffIfTheServersOfAProbeAreNotReachedEither)
{
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(100));
    CHECK_EQUAL(5, reach.probesDue(s_known, after(100)));
    reach.beginProbe();
    CHECK_EQUAL(0, reach.probesDue(s_known, after(110))); // One at a time.
    reach.endProbe(5, after(350));
    CHECK_TRUE(reach.isCutOff());
    CHECK_TRUE(reach.changedAt() == after(350));
}

TEST(ServerReach, someServersThatCrashTogetherDoNotCutTheHostOff)
{
    reach.recordSuccess(); // Before the crash.
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(0));
    reach.recordFailure(3, after(0));
    probe(250, true);
    CHECK_FALSE(reach.isCutOff());
    // They stay away: probes are rare.
    reach.recordFailure(1, after(400));
    reach.recordFailure(2, after(400));
    CHECK_EQUAL(0, reach.probesDue(s_known, after(400)));
    CHECK_EQUAL(5, reach.probesDue(s_known, after(1'250)));
}

TEST(ServerReach, aSuccessBeforeTheProbeDoesNotCount)
{
    reach.recordSuccess();
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(0));
    probe(250, false);
    CHECK_TRUE(reach.isCutOff());
}

TEST(ServerReach, theFirstConnectionThatSucceedsEndsTheCut)
{
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(0));
    probe(250, false);
    CHECK_EQUAL(0, reach.probesDue(s_known, after(700)));
    CHECK_EQUAL(1, reach.probesDue(s_known, after(750)));
    probe(750, false);
    CHECK_TRUE(reach.isCutOff());
    probe(1'250, true);
    CHECK_FALSE(reach.isCutOff());
    CHECK_EQUAL(0, reach.failedServers(after(1'250)));
}

TEST(ServerReach, theOnlyServerSufficesForAProbe)
{
    reach.recordFailure(1, after(0));
    CHECK_EQUAL(5, reach.probesDue(1, after(0)));
}

TEST(ServerReach, aHostThatKnowsNoServersIsNotCutOff)
{
    reach.recordFailure(1, after(0));
    reach.recordFailure(2, after(0));
    reach.beginProbe();
    reach.endProbe(0, after(250));
    CHECK_FALSE(reach.isCutOff());
}
