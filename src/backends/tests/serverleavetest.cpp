#include "backends/backendregistry.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::backends;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(ServerLeave)
{
    ServerLeave leave;
    Instant start{Milliseconds(100'000)};

    auto after(int milliseconds) const->Instant
    {
        return start + Milliseconds(milliseconds);
    }
};

TEST(ServerLeave, nothingEndsAnAnnouncedLeave)
{
    leave.recordAnswer(after(10));
    CHECK_TRUE(leave.isLeaving());
    CHECK_TRUE(leave.source() == LeaveSource::Answer);

    // Reports that were written before the announcement may arrive one after the other, at any time after it.
    leave.recordReport(false, 8, after(900));
    leave.recordReport(false, 9, after(60'000));
    leave.recordReport(false, 10, after(63'000));
    CHECK_TRUE(leave.isLeaving());

    leave.recordReport(true, 11, after(64'000));
    leave.recordReport(false, 12, after(65'000));
    CHECK_TRUE(leave.isLeaving());
    CHECK_TRUE(leave.since() == after(10));
}

TEST(ServerLeave, aServerThatReportedDrainingReturnsOnlyWithANewerReport)
{
    leave.recordReport(true, 5, after(0));
    CHECK_TRUE(leave.source() == LeaveSource::Report);
    leave.recordReport(false, 5, after(100));
    leave.recordReport(false, 4, after(100));
    CHECK_TRUE(leave.isLeaving());
    leave.recordReport(false, 6, after(300));
    CHECK_FALSE(leave.isLeaving());

    // Its answer announces the leave as well: no report ends it.
    leave.recordReport(true, 7, after(400));
    leave.recordAnswer(after(500));
    leave.recordReport(false, 8, after(600));
    CHECK_TRUE(leave.isLeaving());
    CHECK_TRUE(leave.since() == after(400));
}

TEST(ServerLeave, reportsWithoutASequenceCountInTheOrderOfTheirArrival)
{
    leave.recordReport(true, 0, after(0));
    leave.recordReport(false, 0, after(100));
    CHECK_FALSE(leave.isLeaving());
}

TEST(ServerLeave, anAnnouncementToAnotherHostHoldsAsWell)
{
    leave.recordPeer(after(0));
    CHECK_TRUE(leave.source() == LeaveSource::Peer);
    leave.recordReport(false, 6, after(200));
    CHECK_TRUE(leave.isLeaving());
}

TEST(ServerLeave, onlyOwnRecentKnowledgeIsShared)
{
    leave.recordPeer(after(0));
    CHECK_FALSE(leave.isToBeShared(after(0)));
    leave.recordAnswer(after(100));
    CHECK_TRUE(leave.isToBeShared(after(8'099)));
    CHECK_FALSE(leave.isToBeShared(after(8'100)));
}

TEST_GROUP(LeavingServers)
{
    BackendRegistry registry;
    Instant now{Milliseconds(100'000)};

    auto put(std::int64_t startedAt, std::int64_t sequence)->void
    {
        registry.put({.id = "x", .service = "engine", .address = "10.0.0.1:80", .sequence = sequence, .startedAt = startedAt}, now);
    }
};

TEST(LeavingServers, anAnnouncedLeaveOutlastsTheEntryButNotTheIncarnation)
{
    put(1, 5);
    CHECK_FALSE(registry.isAnyLeaving("engine"));
    const auto first = registry.find("x");
    first->leave->recordAnswer(now);
    CHECK_EQUAL(0U, registry.available("engine").size());
    CHECK_TRUE(registry.areAllLeaving("engine"));
    CHECK_FALSE(registry.areAllLeaving("other"));

    // The entry lapses and returns; an answer to the lapsed one still counts.
    registry.remove("x", false, now);
    CHECK_FALSE(registry.areAllLeaving("engine"));
    put(1, 6);
    CHECK_TRUE(registry.find("x") != first);
    CHECK_EQUAL(0U, registry.available("engine").size());

    put(2, 1);
    CHECK_EQUAL(1U, registry.available("engine").size());
    // The earlier incarnation's answers and reports do not concern the new one.
    first->leave->recordAnswer(now);
    put(1, 90);
    CHECK_EQUAL(1U, registry.available("engine").size());
}
