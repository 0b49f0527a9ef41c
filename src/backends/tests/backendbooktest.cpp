#include "backends/backendbook.h"
#include "backends/awaitedanswer.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::backends;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

auto entry(std::string id, std::int64_t startedAt = 1) -> BackendEntry
{
    return {.id = std::move(id), .service = "engine", .address = "10.0.0.1:80", .dataCentre = "a", .slots = 4, .startedAt = startedAt};
}

} // namespace

TEST_GROUP(BackendBook)
{
    BackendBook book;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendBook, drainingServersAndDrainedDataCentresGetNoNewWork)
{
    book.put(entry("x"), now);
    auto leaving = entry("y");
    leaving.isDraining = true;
    book.put(leaving, now);
    CHECK_EQUAL(1U, book.available("engine").size());

    book.setDrainedDataCentres({"a"});
    CHECK_EQUAL(0U, book.available("engine").size());
    book.setDrainedDataCentres({});
    CHECK_EQUAL(1U, book.available("engine").size());
}

TEST(BackendBook, anotherStartUnderTheSameIdIsAnotherServer)
{
    book.put(entry("x", 1), now);
    const auto first = book.find("x");
    first->running = 3;
    book.put(entry("x", 1), now);
    CHECK_TRUE(book.find("x") == first);

    book.put(entry("x", 2), now);
    CHECK_TRUE(first->isGone);
    CHECK_EQUAL(0, book.find("x")->running);
    CHECK_TRUE(book.find("x")->number != first->number);
}

TEST(BackendBook, aReportThatWasOvertakenChangesNothing)
{
    auto leaving = entry("x", 2);
    leaving.sequence = 8;
    leaving.isDraining = true;
    book.put(leaving, now);

    // An older report of the same start, and one of the start before, come late.
    auto late = entry("x", 2);
    late.sequence = 7;
    book.put(late, now);
    auto former = entry("x", 1);
    former.sequence = 90;
    book.put(former, now);
    CHECK_EQUAL(0U, book.available("engine").size());
    CHECK_EQUAL(2, book.find("x")->entry.startedAt);
}

TEST(BackendBook, aLateReportDoesNotBringBackAServerThatIsGone)
{
    auto last = entry("x");
    last.sequence = 8;
    book.put(last, now);
    book.remove("x", false, now);
    book.put(last, now);
    CHECK_TRUE(book.find("x") == nullptr);
    last.sequence = 9;
    book.put(last, now);
    CHECK_TRUE(book.find("x") != nullptr);
}

TEST(BackendBook, anEntryThatIsRemovedIsGoneAtOnce)
{
    book.put(entry("x"), now);
    book.remove("x", false, now);
    CHECK_TRUE(book.find("x") == nullptr);
}

TEST(BackendBook, entriesThatLapseWithTheStoreAwayStayUntilShortlyAfterItsReturn)
{
    book.put(entry("back"), now);
    book.put(entry("gone"), now);
    book.storeLost();
    book.remove("back", false, now);
    book.remove("gone", false, now);
    book.expire(now + Milliseconds(60'000));
    CHECK_EQUAL(2U, book.available("engine").size());

    // The store returns; one server renews its entry, the other does not.
    const auto returned = now + Milliseconds(60'000);
    book.storeRegained(returned);
    book.put(entry("back"), returned + Milliseconds(1'500));
    book.expire(returned + Milliseconds(2'100));
    CHECK_EQUAL(2U, book.available("engine").size());
    book.expire(returned + Milliseconds(2'300));
    CHECK_EQUAL(1U, book.available("engine").size());
    CHECK_TRUE(book.find("back") != nullptr);
}

TEST(BackendBook, aRemovalSeenRightAfterTheStoresReturnWaitsToo)
{
    book.put(entry("x"), now);
    book.storeLost();
    book.storeRegained(now);
    book.remove("x", false, now + Milliseconds(100));
    CHECK_TRUE(book.find("x") != nullptr);
    book.expire(now + Milliseconds(2'300));
    CHECK_TRUE(book.find("x") == nullptr);
}

TEST(BackendBook, aRemovalThatAHostWithAStoreSawCountsAlsoWhereTheStoreIsAway)
{
    book.put(entry("x"), now);
    book.storeLost();
    book.remove("x", true, now);
    CHECK_TRUE(book.find("x") == nullptr);
}

TEST_GROUP(BackendHealth)
{
    BackendHealth health;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendHealth, anUnreachableServerIsLeftAloneForAGrowingWhile)
{
    health.record(ServerOutcome::Unreachable, 0, now);
    CHECK_TRUE(health.isAvoided(now + Milliseconds(200)));
    CHECK_FALSE(health.isAvoided(now + Milliseconds(300)));
    health.record(ServerOutcome::Unreachable, 0, now);
    CHECK_TRUE(health.isAvoided(now + Milliseconds(400)));
}

TEST(BackendHealth, oneBrokenAnswerIsBadLuckThreeInARowAreNot)
{
    health.record(ServerOutcome::Broken, 0, now);
    health.record(ServerOutcome::Broken, 0, now);
    CHECK_FALSE(health.isAvoided(now));
    health.record(ServerOutcome::Broken, 0, now);
    CHECK_TRUE(health.isAvoided(now));
    health.record(ServerOutcome::Answered, 1, now);
    CHECK_FALSE(health.isAvoided(now));
}

TEST(BackendHealth, aRefusalIsNoFailure)
{
    for (auto time = 0; time < 10; ++time) {
        health.record(ServerOutcome::Refused, 0, now);
    }
    DOUBLES_EQUAL(0, health.failureShare(now), 1e-9);
    CHECK_FALSE(health.isAvoided(now));
}

TEST(BackendHealth, slownessFollowsWhatRequestsMeet)
{
    for (auto time = 0; time < 40; ++time) {
        health.record(ServerOutcome::Answered, 5, now);
    }
    CHECK_TRUE(health.slowness() > 4);
}

TEST(BackendHealth, failuresFadeSoThatAServerThatIsWellAgainIsUsedAgain)
{
    for (auto time = 0; time < 5; ++time) {
        health.record(ServerOutcome::Broken, 0, now);
    }
    const auto share = health.failureShare(now);
    CHECK_TRUE(share > 0.4);
    DOUBLES_EQUAL(share / 2, health.failureShare(now + Milliseconds(2'000)), 1e-6);
    CHECK_TRUE(health.failureShare(now + Milliseconds(12'000)) < 0.01);
}

TEST(BackendHealth, whatOtherHostsMeetCountsAsWell)
{
    health.setElsewhere(0.3, 2);
    DOUBLES_EQUAL(0.3, health.failureShareOfAll(now), 1e-9);
    CHECK_EQUAL(2, health.overdueElsewhere());
    health.record(ServerOutcome::Broken, 0, now);
    DOUBLES_EQUAL(0.4, health.failureShareOfAll(now), 1e-9);
    health.setElsewhere(3.0, 0);
    DOUBLES_EQUAL(1.0, health.failureShareOfAll(now), 1e-9);
}

TEST(BackendHealth, aRequestIsOverdueUntilSomethingComesBack)
{
    const auto backend = std::make_shared<Backend>();
    {
        const auto awaited = AwaitedAnswer(backend, now + Milliseconds(300));
        CHECK_EQUAL(0, backend->overdue(now));
        CHECK_EQUAL(1, backend->overdue(now + Milliseconds(300)));
    }
    CHECK_EQUAL(0, backend->overdue(now + Milliseconds(300)));
}
