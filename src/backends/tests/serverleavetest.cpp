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

TEST(ServerLeave, anAnnouncedLeaveHoldsWhateverWasReportedBefore)
{
    leave.recordAnswer(true, after(0), after(10));
    CHECK_TRUE(leave.isLeaving());
    CHECK_TRUE(leave.source() == LeaveSource::Answer);

    // A report that was written before the announcement arrives after it.
    leave.recordReport(false, 8, after(900));
    CHECK_TRUE(leave.isLeaving());
    // The first report after a long time without the store may be as old.
    leave.recordReport(false, 9, after(60'000));
    leave.recordReport(false, 9, after(61'000));
    leave.recordReport(false, 8, after(62'000));
    CHECK_TRUE(leave.isLeaving());
    // One that follows it is not.
    leave.recordReport(false, 10, after(63'000));
    CHECK_FALSE(leave.isLeaving());
}

TEST(ServerLeave, aServerThatReportedDrainingReturnsOnlyWithANewerReport)
{
    leave.recordReport(true, 5, after(0));
    CHECK_TRUE(leave.source() == LeaveSource::Report);
    leave.recordReport(false, 5, after(100));
    leave.recordReport(false, 4, after(100));
    CHECK_TRUE(leave.isLeaving());

    // Its answers announce the leave as well; the newer report ends both.
    leave.recordAnswer(true, after(100), after(200));
    CHECK_TRUE(leave.since() == after(0));
    leave.recordReport(false, 6, after(300));
    CHECK_FALSE(leave.isLeaving());

    // It drains again, and its answer arrives before its report.
    leave.recordAnswer(true, after(400), after(410));
    leave.recordReport(false, 7, after(500));
    CHECK_TRUE(leave.isLeaving());
    leave.recordReport(true, 8, after(600));
    leave.recordReport(false, 9, after(700));
    CHECK_FALSE(leave.isLeaving());
}

TEST(ServerLeave, reportsWithoutASequenceCountInTheOrderOfTheirArrival)
{
    leave.recordReport(true, 0, after(0));
    leave.recordReport(false, 0, after(100));
    CHECK_FALSE(leave.isLeaving());

    // They cannot end an announced leave: nothing shows that they are newer.
    leave.recordAnswer(true, after(200), after(210));
    leave.recordReport(false, 0, after(10'000));
    leave.recordReport(false, 0, after(11'000));
    CHECK_TRUE(leave.isLeaving());
}

TEST(ServerLeave, onlyAnAnswerToALaterRequestWithdrawsAnAnnouncement)
{
    leave.recordAnswer(true, after(0), after(10));
    leave.recordAnswer(false, after(5), after(20)); // Overtaken by the announcement.
    CHECK_TRUE(leave.isLeaving());
    leave.recordAnswer(false, after(30), after(40));
    CHECK_FALSE(leave.isLeaving());

    // It does not withdraw a report.
    leave.recordReport(true, 5, after(100));
    leave.recordAnswer(true, after(100), after(110));
    leave.recordAnswer(false, after(120), after(130));
    CHECK_TRUE(leave.isLeaving());
}

TEST(ServerLeave, aLateMessageOfAnotherHostDoesNotRestoreAnEndedLeave)
{
    leave.recordPeer(after(0));
    CHECK_TRUE(leave.source() == LeaveSource::Peer);
    leave.recordReport(true, 5, after(100));
    leave.recordReport(false, 6, after(200));
    leave.recordPeer(after(300));
    leave.recordPeer(after(10'100));
    CHECK_FALSE(leave.isLeaving());
    leave.recordPeer(after(10'200));
    CHECK_TRUE(leave.isLeaving());
}

TEST(ServerLeave, onlyOwnRecentKnowledgeIsShared)
{
    leave.recordPeer(after(0));
    CHECK_FALSE(leave.isToBeShared(after(0)));
    leave.recordAnswer(true, after(90), after(100));
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
    first->leave->recordAnswer(true, now, now);
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
    first->leave->recordAnswer(true, now, now);
    put(1, 90);
    CHECK_EQUAL(1U, registry.available("engine").size());
}
