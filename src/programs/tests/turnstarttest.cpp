#include "programs/turnstart.h"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_idleTimeout = Milliseconds(2'000);
constexpr auto s_runTime = Milliseconds(400);
constexpr auto s_retryPause = Milliseconds(250);
constexpr auto s_tries = 3;

/// A caller whose turn may begin in an outage of the store.
struct OutageCaller
{
    Milliseconds limit{4'000};

    auto viewAt(Instant arrival) const -> TurnStartView
    {
        return {.arrivedAt = arrival,
                .endBy = arrival + limit,
                .callerIdleTimeout = s_idleTimeout,
                .expectedRunTime = s_runTime,
                .expectedFirstWait = Milliseconds(100)};
    }

    /// Runs of the turn until its answer ends whole; 0 if the caller gives up before. The store is back at `returnAt`.
    auto runsUntilEnd(Instant arrival, Instant returnAt, bool isDelayed) const -> int
    {
        auto runs = 0;
        for (auto attempt = 0; attempt < s_tries; ++attempt) {
            const auto latest = isDelayed ? TurnStart::latest(viewAt(arrival)) : arrival;
            const auto ranAt = std::min(latest, std::max(arrival, returnAt)) + s_runTime;
            const auto leavesAt = std::min(ranAt + s_idleTimeout, arrival + limit);
            ++runs;
            if (returnAt <= leavesAt) {
                return runs;
            }
            arrival = leavesAt + s_retryPause;
        }
        return 0;
    }
};

} // namespace

TEST_GROUP(TurnStart)
{
    Instant now = Instant(Milliseconds(10'000));
    OutageCaller caller;
};

TEST(TurnStart, aTurnBeginsInTimeForItsCallerToAwaitItsFirstEventAndItsEnd)
{
    for (const auto limit : {1'000, 2'000, 2'500, 3'000, 4'000, 10'000}) {
        caller.limit = Milliseconds(limit);
        const auto latest = TurnStart::latest(caller.viewAt(now));
        CHECK_TRUE(latest >= now);
        CHECK_TRUE(latest < now + s_idleTimeout);
        CHECK_TRUE(latest == now || latest + s_runTime + s_idleTimeout <= now + caller.limit);
    }
    caller.limit = Milliseconds(4'000);
    CHECK_TRUE(TurnStart::latest(caller.viewAt(now)) == now + Milliseconds(1'600));
}

// Guards against turns that were run for callers who left before the store returned, and whose tokens were used up by that.
TEST(TurnStart, callersOutliveLongerOutagesWithFewerRuns)
{
    auto ended = std::array{0, 0};
    auto runs = std::array{0, 0};
    for (auto outage = 500; outage <= 9'000; outage += 100) {
        for (const auto isDelayed : {false, true}) {
            const auto needed = caller.runsUntilEnd(now, now + Milliseconds(outage), isDelayed);
            ended.at(isDelayed ? 1 : 0) += needed > 0 ? 1 : 0;
            runs.at(isDelayed ? 1 : 0) += needed > 0 ? needed : s_tries;
        }
    }
    CHECK_EQUAL(86, ended[1]); // All outages of up to 9 s.
    CHECK_TRUE(ended[0] < ended[1]);
    CHECK_TRUE(runs[1] * 4 <= runs[0] * 3);
}

TEST(TurnStart, aTurnThatLacksTokensWaitsWhileARunCouldEndInTime)
{
    for (const auto limit : {300, 1'000, 2'000, 4'000}) {
        caller.limit = Milliseconds(limit);
        const auto latest = TurnStart::latestWithStore(caller.viewAt(now));
        CHECK_TRUE(latest >= TurnStart::latest(caller.viewAt(now)));
        CHECK_TRUE(latest < now + s_idleTimeout);
        CHECK_TRUE(latest == now || latest + s_runTime < now + caller.limit);
    }
}
