#include "scheduling/backendchoice.h"
#include "scheduling/admission.h"

#include <CppUTest/TestHarness.h>

#include <deque>

#include <map>

using namespace laburnummill::scheduling;
using laburnummill::backends::Backend;
using laburnummill::backends::BackendPtr;
using laburnummill::backends::ServerOutcome;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

auto server(std::uint64_t number, std::string dataCentre = "a", int slots = 4) -> BackendPtr
{
    auto made = std::make_shared<Backend>();
    made->number = number;
    made->entry.id = "s" + std::to_string(number);
    made->entry.dataCentre = std::move(dataCentre);
    made->entry.slots = slots;
    return made;
}

} // namespace

TEST_GROUP(BackendChoice)
{
    BackendChoice choice{1};
    ChoiceSettings settings{.ownDataCentre = "a", .coldRequestsPerSecond = 0, .hosts = 1, .reportInterval = Milliseconds(0)};
    BackendRequirements requirements;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendChoice, equalServersAreChosenInRotation)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    auto times = std::map<std::uint64_t, int>();
    for (auto time = 0; time < 30; ++time) {
        ++times[choice.choose(servers, requirements, settings, now)->number];
    }
    CHECK_EQUAL(10, times[1]);
    CHECK_EQUAL(10, times[2]);
}

TEST(BackendChoice, theEngineOfThePreviousTurnIsPreferredEvenIfAnotherHostUsedIt)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    requirements.prompt = {
        {.part = "shared", .tokens = 500}, {.part = "first turn", .tokens = 2'000}, {.part = "this turn", .tokens = 300}};
    requirements.lastBackend = servers[1]->entry.id;
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
    }
    servers[1]->running = 40;
    CHECK_TRUE(choice.choose(servers, requirements, settings, now)->number != 2);
}

TEST(BackendChoice, aServerWithAnIdleConnectionIsPreferredUntilItIsBusier)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    servers[1]->idleConnections = 1;
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
    }
    servers[1]->running = 8;
    CHECK_TRUE(choice.choose(servers, requirements, settings, now)->number != 2);
}

TEST(BackendChoice, aServerWithAFreeSlotInAnotherDataCentreIsPreferredToAFullOne)
{
    const auto full = server(1);
    full->running = 2;
    full->runningRemotely = 2;
    const auto servers = std::vector{full, server(2, "b")};
    CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
}

TEST(BackendChoice, theLocalDataCentreIsPreferred)
{
    const auto servers = std::vector{server(1, "b"), server(2, "a"), server(3, "b")};
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
    }
}

TEST(BackendChoice, theEngineThatCachesThePromptIsPreferredUntilItsQueueCostsMore)
{
    const auto servers = std::vector{server(1), server(2)};
    requirements.prompt = {{.part = "shared", .tokens = 500}, {.part = "own", .tokens = 20'000}};
    choice.started(servers[0], requirements, settings, now);
    for (auto time = 0; time < 4; ++time) {
        CHECK_EQUAL(1U, choice.choose(servers, requirements, settings, now)->number);
    }
    servers[0]->running = 40;
    CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
}

TEST(BackendChoice, failingAndAlreadyTriedServersAreAvoided)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    servers[0]->health.record(ServerOutcome::Unreachable, 0, now);
    requirements.tried.insert(2);
    for (auto time = 0; time < 3; ++time) {
        CHECK_EQUAL(3U, choice.choose(servers, requirements, settings, now)->number);
    }
    requirements.tried.insert(3);
    // If all other servers were tried, a server that failed recently is used.
    CHECK_EQUAL(1U, choice.choose(servers, requirements, settings, now)->number);
}

TEST(BackendChoice, aSlowServerIsAvoidedEvenIfTheOtherIsBusier)
{
    const auto servers = std::vector{server(1), server(2)};
    for (auto time = 0; time < 40; ++time) {
        servers[0]->health.record(ServerOutcome::Answered, 5, now);
        servers[1]->health.record(ServerOutcome::Answered, 1, now);
    }
    servers[1]->running = 4;
    CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
}

TEST(BackendChoice, theColdStartLimitIsSharedByAllHosts)
{
    const auto cold = server(1);
    cold->coldUntil = now + Milliseconds(60'000);
    settings.coldRequestsPerSecond = 12;
    settings.hosts = 4;
    auto taken = 0;
    for (auto step = 0; step < 1'000; ++step) {
        now += Milliseconds(10);
        const auto chosen = choice.choose({cold}, requirements, settings, now);
        if (chosen) {
            choice.started(chosen, requirements, settings, now);
            ++taken;
        }
    }
    CHECK_TRUE(taken >= 29 && taken <= 31); // This host's quarter of 12 requests per second, for 10 s.
}

TEST(BackendChoice, hostsOfALargeFleetDoNotAllUseAColdServerAtOnce)
{
    // Runs twice, because a server can become cold again at any time.
    const auto cold = server(1);
    settings.coldRequestsPerSecond = 25;
    settings.hosts = 76;
    auto hosts = std::deque<BackendChoice>();
    for (auto seed = std::uint64_t{0}; seed < 76; ++seed) {
        hosts.emplace_back(seed);
    }
    for (auto time = 0; time < 2; ++time) {
        now += Milliseconds(10'000);
        cold->coldUntil = now + Milliseconds(3'000);
        auto sentAt = std::deque<Instant>();
        auto maxInOneSecond = std::size_t{0};
        for (auto step = 0; step < 300; ++step) {
            for (auto& host : hosts) {
                if (host.choose({cold}, requirements, settings, now)) {
                    host.started(cold, requirements, settings, now);
                    sentAt.push_back(now);
                }
            }
            while (!sentAt.empty() && sentAt.front() <= now - Milliseconds(1'000)) {
                sentAt.pop_front();
            }
            maxInOneSecond = std::max(maxInOneSecond, sentAt.size());
            now += Milliseconds(10);
        }
        CHECK_TRUE(maxInOneSecond <= 25 * 1.5 + 5); // Limit on the requests from all hosts in any second.
    }
}

TEST(BackendChoice, aServerWithOverdueRequestsIsAvoided)
{
    const auto servers = std::vector{server(1), server(2)};
    servers[0]->health.setRemoteReports({.failureShares = 0, .overdue = 1});
    servers[1]->running = 3;
    for (auto time = 0; time < 3; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, requirements, settings, now)->number);
    }
}

TEST(BackendChoice, noServerIsResponsiveIfAllUntriedOnesHaveOverdueRequests)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    requirements.tried.insert(1);
    CHECK_TRUE(hasResponsiveServer(servers, requirements, now));
    servers[1]->health.setRemoteReports({.failureShares = 0, .overdue = 1});
    CHECK_TRUE(hasResponsiveServer(servers, requirements, now));
    servers[2]->overdueTimes.insert(now - Milliseconds(1));
    CHECK_FALSE(hasResponsiveServer(servers, requirements, now));
    servers[0]->health.setRemoteReports({});
    CHECK_FALSE(hasResponsiveServer(servers, requirements, now)); // Server 1 was already tried.
}

TEST_GROUP(Admission)
{
    Admission admission{7};
    Instant now{Milliseconds(100'000)};
    std::vector<BackendPtr> servers{server(1, "a", 12), server(2, "a", 12)};

    auto admittedOf1000(int priority)->int
    {
        auto admitted = 0;
        for (auto time = 0; time < 1'000; ++time) {
            admitted += admission.mayBegin(servers, priority, now) ? 1 : 0;
        }
        return admitted;
    }
};

TEST(Admission, everyProgramIsAdmittedWhileSlotsAreFree)
{
    servers[0]->running = 6;
    servers[1]->runningRemotely = 10;
    CHECK_EQUAL(1'000, admittedOf1000(1));
}

TEST(Admission, noProgramIsAdmittedWhileRequestsQueue)
{
    servers[0]->running = 20;
    servers[1]->runningRemotely = 20;
    CHECK_EQUAL(0, admittedOf1000(1));
}

TEST(Admission, nearTheLimitAFractionIsAdmittedAndMoreOfHighPriority)
{
    servers[0]->running = 11;
    servers[1]->running = 11;
    CHECK_TRUE(admittedOf1000(1) > 200 && admittedOf1000(1) < 500);
    CHECK_TRUE(admittedOf1000(0) > 800);
}

TEST(Admission, slotsOfAvoidedServersAreNotCounted)
{
    servers[0]->running = 11;
    servers[1]->health.record(ServerOutcome::Unreachable, 0, now);
    DOUBLES_EQUAL(11.0 / 12, loadOf(servers, now), 1e-9);
}

TEST(Admission, aProgramsFirstRequestIsDistinguishedFromLaterOnes)
{
    CHECK_TRUE(admission.isFirstRequest("p", now));
    CHECK_FALSE(admission.isFirstRequest("p", now + Milliseconds(1'000)));
    CHECK_TRUE(admission.isFirstRequest("q", now));
    CHECK_TRUE(admission.isFirstRequest("p", now + Milliseconds(60'000)));
}
