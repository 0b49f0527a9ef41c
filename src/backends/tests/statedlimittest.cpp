#include "backends/backendregistry.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::backends;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(StatedLimit)
{
    StatedLimit limit;
    Instant start{Milliseconds(100'000)};

    auto after(int milliseconds) const->Instant
    {
        return start + Milliseconds(milliseconds);
    }
};

TEST(StatedLimit, theLatestAnswerCounts)
{
    CHECK_FALSE(limit.current(after(0)).has_value());
    limit.recordAnswer(4.5, after(0), after(20));
    limit.recordAnswer(3.0, after(10), after(30));
    DOUBLES_EQUAL(3.0, limit.current(after(40))->perSecond, 0);
    CHECK_TRUE(limit.current(after(40))->statedAt == after(30));
    CHECK_TRUE(limit.current(after(40))->source == LimitSource::Answer);
}

TEST(StatedLimit, onlyAnAnswerToALaterRequestEndsIt)
{
    limit.recordAnswer(4.5, after(0), after(20));
    limit.recordAnswer(std::nullopt, after(10), after(25)); // Its answer may have been sent before the one that stated the limit.
    CHECK_TRUE(limit.current(after(30)).has_value());
    limit.recordAnswer(std::nullopt, after(30), after(50));
    CHECK_FALSE(limit.current(after(50)).has_value());
}

TEST(StatedLimit, aStatementIsOutdatedAfterSomeSecondsOrTheTimeOfAFewRequests)
{
    limit.recordAnswer(10.0, after(0), after(0));
    CHECK_TRUE(limit.current(after(4'999)).has_value());
    CHECK_FALSE(limit.current(after(5'000)).has_value());
    limit.recordAnswer(0.3, after(6'000), after(6'000));
    CHECK_TRUE(limit.current(after(15'999)).has_value());
    CHECK_FALSE(limit.current(after(16'000)).has_value());
    limit.recordAnswer(0.0, after(20'000), after(20'000));
    CHECK_TRUE(limit.current(after(49'999)).has_value());
    CHECK_FALSE(limit.current(after(50'000)).has_value());
}

TEST(StatedLimit, theLaterOfAnOwnAndAReportedStatementHolds)
{
    limit.recordPeer(4.0, after(100));
    CHECK_TRUE(limit.current(after(200))->source == LimitSource::Peer);
    limit.recordAnswer(3.0, after(140), after(150));
    limit.recordPeer(4.0, after(120)); // A report that arrives late.
    DOUBLES_EQUAL(3.0, limit.current(after(200))->perSecond, 0);
    limit.recordPeer(2.0, after(300));
    DOUBLES_EQUAL(2.0, limit.current(after(400))->perSecond, 0);
}

TEST(StatedLimit, reportsOfStatementsBeforeItsEndDoNotBringItBack)
{
    limit.recordAnswer(std::nullopt, after(100), after(120));
    limit.recordPeer(4.0, after(90));
    CHECK_FALSE(limit.current(after(200)).has_value());
    limit.recordPeer(4.0, after(110));
    CHECK_TRUE(limit.current(after(200)).has_value());
}

TEST(StatedLimit, oneReportInASecondSufficesForAllHosts)
{
    CHECK_FALSE(limit.toReport(after(0)).has_value());
    limit.recordPeer(4.0, after(0));
    CHECK_FALSE(limit.toReport(after(0)).has_value()); // What others have received is not passed on.
    limit.recordAnswer(4.0, after(900), after(999));
    CHECK_FALSE(limit.toReport(after(1'000)).has_value());
    limit.recordAnswer(4.0, after(900), after(1'000));
    CHECK_TRUE(limit.toReport(after(1'000)).has_value());
    limit.recordPeer(4.0, after(950));
    CHECK_FALSE(limit.toReport(after(1'000)).has_value());
    limit.recordAnswer(5.0, after(1'000), after(1'010)); // A new limit is reported at once.
    DOUBLES_EQUAL(5.0, limit.toReport(after(1'010))->perSecond, 0);
}

TEST(StatedLimit, outlastsTheEntryButNotTheIncarnation)
{
    auto registry = BackendRegistry();
    const auto put = [&](std::int64_t startedAt, std::int64_t sequence) {
        registry.put({.id = "x", .service = "engine", .address = "10.0.0.1:80", .sequence = sequence, .startedAt = startedAt}, start);
    };
    put(1, 5);
    registry.find("x")->limit->recordAnswer(4.5, start, start);
    registry.remove("x", true, start);
    put(1, 6);
    CHECK_TRUE(registry.find("x")->limit->current(start).has_value());
    put(2, 1);
    CHECK_FALSE(registry.find("x")->limit->current(start).has_value());
}
