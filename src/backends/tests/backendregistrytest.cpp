#include "backends/backendregistry.h"
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

TEST_GROUP(BackendRegistry)
{
    BackendRegistry registry;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendRegistry, drainingServersAndDrainedDataCentresGetNoNewWork)
{
    registry.put(entry("x"), now);
    auto draining = entry("y");
    draining.isDraining = true;
    registry.put(draining, now);
    CHECK_EQUAL(1U, registry.available("engine").size());

    registry.setDrainedDataCentres({"a"});
    CHECK_EQUAL(0U, registry.available("engine").size());
    registry.setDrainedDataCentres({});
    CHECK_EQUAL(1U, registry.available("engine").size());
}

TEST(BackendRegistry, aRestartUnderTheSameIdIsTreatedAsAnotherServer)
{
    registry.put(entry("x", 1), now);
    const auto first = registry.find("x");
    first->running = 3;
    registry.put(entry("x", 1), now);
    CHECK_TRUE(registry.find("x") == first);

    registry.put(entry("x", 2), now);
    CHECK_TRUE(first->isRemoved);
    CHECK_EQUAL(0, registry.find("x")->running);
    CHECK_TRUE(registry.find("x")->number != first->number);
}

TEST(BackendRegistry, anOutdatedReportIsIgnored)
{
    auto draining = entry("x", 2);
    draining.sequence = 8;
    draining.isDraining = true;
    registry.put(draining, now);

    // An older report of the same start and a report of an earlier start arrive late.
    auto late = entry("x", 2);
    late.sequence = 7;
    registry.put(late, now);
    auto earlierStart = entry("x", 1);
    earlierStart.sequence = 90;
    registry.put(earlierStart, now);
    CHECK_EQUAL(0U, registry.available("engine").size());
    CHECK_EQUAL(2, registry.find("x")->entry.startedAt);
}

TEST(BackendRegistry, aLateReportDoesNotRestoreARemovedServer)
{
    auto last = entry("x");
    last.sequence = 8;
    registry.put(last, now);
    registry.remove("x", false, now);
    registry.put(last, now);
    CHECK_TRUE(registry.find("x") == nullptr);
    last.sequence = 9;
    registry.put(last, now);
    CHECK_TRUE(registry.find("x") != nullptr);
}

TEST(BackendRegistry, aRemovedEntryIsDroppedAtOnceWhileTheStoreIsAvailable)
{
    registry.put(entry("x"), now);
    registry.remove("x", false, now);
    CHECK_TRUE(registry.find("x") == nullptr);
}

TEST(BackendRegistry, entriesThatExpireDuringAStoreOutageAreKeptUntilAGracePeriodAfterIt)
{
    registry.put(entry("back"), now);
    registry.put(entry("gone"), now);
    registry.markStoreUnavailable();
    registry.remove("back", false, now);
    registry.remove("gone", false, now);
    registry.expire(now + Milliseconds(60'000));
    CHECK_EQUAL(2U, registry.available("engine").size());

    // The store is available again; one server renews its entry, the other does not.
    const auto returned = now + Milliseconds(60'000);
    registry.markStoreAvailable(returned);
    registry.put(entry("back"), returned + Milliseconds(1'500));
    registry.expire(returned + Milliseconds(2'100));
    CHECK_EQUAL(2U, registry.available("engine").size());
    registry.expire(returned + Milliseconds(2'300));
    CHECK_EQUAL(1U, registry.available("engine").size());
    CHECK_TRUE(registry.find("back") != nullptr);
}

TEST(BackendRegistry, aRemovalRightAfterAStoreOutageIsAlsoDelayed)
{
    registry.put(entry("x"), now);
    registry.markStoreUnavailable();
    registry.markStoreAvailable(now);
    registry.remove("x", false, now + Milliseconds(100));
    CHECK_TRUE(registry.find("x") != nullptr);
    registry.expire(now + Milliseconds(2'300));
    CHECK_TRUE(registry.find("x") == nullptr);
}

TEST(BackendRegistry, aConfirmedRemovalTakesEffectDuringAStoreOutage)
{
    registry.put(entry("x"), now);
    registry.markStoreUnavailable();
    registry.remove("x", true, now);
    CHECK_TRUE(registry.find("x") == nullptr);
}

TEST_GROUP(BackendHealth)
{
    BackendHealth health;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendHealth, anUnreachableServerIsAvoidedForAnIncreasingTime)
{
    health.record(ServerOutcome::Unreachable, 0, now);
    CHECK_TRUE(health.isAvoided(now + Milliseconds(200)));
    CHECK_FALSE(health.isAvoided(now + Milliseconds(300)));
    health.record(ServerOutcome::Unreachable, 0, now);
    CHECK_TRUE(health.isAvoided(now + Milliseconds(400)));
}

TEST(BackendHealth, aServerIsAvoidedAfterThreeConsecutiveBrokenAnswers)
{
    health.record(ServerOutcome::Broken, 0, now);
    health.record(ServerOutcome::Broken, 0, now);
    CHECK_FALSE(health.isAvoided(now));
    health.record(ServerOutcome::Broken, 0, now);
    CHECK_TRUE(health.isAvoided(now));
    health.record(ServerOutcome::Answered, 1, now);
    CHECK_FALSE(health.isAvoided(now));
}

TEST(BackendHealth, aRefusalIsNotCountedAsAFailure)
{
    for (auto time = 0; time < 10; ++time) {
        health.record(ServerOutcome::Refused, 0, now);
    }
    DOUBLES_EQUAL(0, health.failureShare(now), 1e-9);
    CHECK_FALSE(health.isAvoided(now));
}

TEST(BackendHealth, slownessFollowsTheDurationOfRequests)
{
    for (auto time = 0; time < 40; ++time) {
        health.record(ServerOutcome::Answered, 5, now);
    }
    CHECK_TRUE(health.slowness() > 4);
}

TEST(BackendHealth, theFailureShareDecaysOverTime)
{
    for (auto time = 0; time < 5; ++time) {
        health.record(ServerOutcome::Broken, 0, now);
    }
    const auto share = health.failureShare(now);
    CHECK_TRUE(share > 0.4);
    DOUBLES_EQUAL(share / 2, health.failureShare(now + Milliseconds(2'000)), 1e-6);
    CHECK_TRUE(health.failureShare(now + Milliseconds(12'000)) < 0.01);
}

TEST(BackendHealth, failuresReportedByOtherHostsAreIncluded)
{
    health.setRemoteReports({.failureShares = 0.3, .overdue = 2});
    DOUBLES_EQUAL(3.0 / 11, health.combinedFailureShare(0, now), 1e-9);
    CHECK_EQUAL(2, health.remoteOverdue());
    health.record(ServerOutcome::Broken, 0, now);
    DOUBLES_EQUAL(4.0 / 12, health.combinedFailureShare(0, now), 1e-9);
}

TEST(BackendHealth, oneFailureEachOnManyHostsIndicatesAServerThatFailsEachRequest)
{
    health.setRemoteReports({.failureShares = 20 * 0.1, .overdue = 0});
    CHECK_TRUE(health.combinedFailureShare(0, now) > 0.6);
}

TEST(BackendHealth, fewFailuresAmongManyRequestsInProgressIndicateFewFailures)
{
    // Three in 100 of 30 requests a second; each of twelve hosts has seen a failure or none.
    health.setRemoteReports({.failureShares = 3 * 0.1, .overdue = 0});
    CHECK_TRUE(health.combinedFailureShare(6, now) < 0.04);
}

TEST(BackendHealth, whatThisHostFindsIsNotDilutedByTheRequestsOfOthers)
{
    for (auto time = 0; time < 5; ++time) {
        health.record(ServerOutcome::Broken, 0, now);
    }
    DOUBLES_EQUAL(health.failureShare(now), health.combinedFailureShare(40, now), 1e-9);
}

TEST(BackendHealth, aRequestIsOverdueUntilItsResponseBegins)
{
    const auto backend = std::make_shared<Backend>();
    {
        const auto overdueTimes = AwaitedAnswer(backend, now + Milliseconds(300));
        CHECK_EQUAL(0, backend->overdue(now));
        CHECK_EQUAL(1, backend->overdue(now + Milliseconds(300)));
    }
    CHECK_EQUAL(0, backend->overdue(now + Milliseconds(300)));
}
