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
    ChoiceSettings settings{.ownDataCentre = "a", .coldRequestsPerSecond = 0, .hosts = 1};
    WorkNeed need;
    Instant now{Milliseconds(100'000)};
};

TEST(BackendChoice, equalServersTakeTurns)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    auto times = std::map<std::uint64_t, int>();
    for (auto time = 0; time < 30; ++time) {
        ++times[choice.choose(servers, need, settings, now)->number];
    }
    CHECK_EQUAL(10, times[1]);
    CHECK_EQUAL(10, times[2]);
}

TEST(BackendChoice, theEngineOfTheTurnBeforeIsPreferredAlsoWhereAnotherHostSentIt)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    need.prompt = {{.part = "shared", .tokens = 500}, {.part = "first turn", .tokens = 2'000}, {.part = "this turn", .tokens = 300}};
    need.lastBackend = servers[1]->entry.id;
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
    }
    servers[1]->running = 40;
    CHECK_TRUE(choice.choose(servers, need, settings, now)->number != 2);
}

TEST(BackendChoice, aServerWithARestingConnectionIsPreferredUntilItIsBusier)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    servers[1]->restingConnections = 1;
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
    }
    servers[1]->running = 8;
    CHECK_TRUE(choice.choose(servers, need, settings, now)->number != 2);
}

TEST(BackendChoice, aFullServerIsLeftForOneWithAPlaceAlsoInAnotherDataCentre)
{
    const auto full = server(1);
    full->running = 2;
    full->runningElsewhere = 2;
    const auto servers = std::vector{full, server(2, "b")};
    CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
}

TEST(BackendChoice, theOwnDataCentreIsPreferred)
{
    const auto servers = std::vector{server(1, "b"), server(2, "a"), server(3, "b")};
    for (auto time = 0; time < 6; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
    }
}

TEST(BackendChoice, theEngineThatHoldsThePromptIsPreferredUntilItsQueueCostsMore)
{
    const auto servers = std::vector{server(1), server(2)};
    need.prompt = {{.part = "shared", .tokens = 500}, {.part = "own", .tokens = 20'000}};
    choice.started(servers[0], need, settings, now);
    for (auto time = 0; time < 4; ++time) {
        CHECK_EQUAL(1U, choice.choose(servers, need, settings, now)->number);
    }
    servers[0]->running = 40;
    CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
}

TEST(BackendChoice, serversThatFailOrWereTriedAreLeftAlone)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    servers[0]->health.record(ServerOutcome::Unreachable, 0, now);
    need.tried.insert(2);
    for (auto time = 0; time < 3; ++time) {
        CHECK_EQUAL(3U, choice.choose(servers, need, settings, now)->number);
    }
    need.tried.insert(3);
    // Where nothing else is left, one that failed lately is better than none.
    CHECK_EQUAL(1U, choice.choose(servers, need, settings, now)->number);
}

TEST(BackendChoice, aSlowServerGetsLessWork)
{
    const auto servers = std::vector{server(1), server(2)};
    for (auto time = 0; time < 40; ++time) {
        servers[0]->health.record(ServerOutcome::Answered, 5, now);
        servers[1]->health.record(ServerOutcome::Answered, 1, now);
    }
    servers[1]->running = 4;
    CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
}

TEST(BackendChoice, allHostsTogetherKeepAColdServersBound)
{
    const auto cold = server(1);
    cold->coldUntil = now + Milliseconds(60'000);
    settings.coldRequestsPerSecond = 12;
    settings.hosts = 4;
    auto taken = 0;
    for (auto step = 0; step < 1'000; ++step) {
        now += Milliseconds(10);
        const auto chosen = choice.choose({cold}, need, settings, now);
        if (chosen) {
            choice.started(chosen, need, settings, now);
            ++taken;
        }
    }
    CHECK_TRUE(taken >= 29 && taken <= 31); // 12 a second over 4 hosts for 10 s.
}

TEST(BackendChoice, hostsOfALargeFleetDoNotBeginTogetherAtAColdServer)
{
    // Twice, as a server may turn cold again at any moment.
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
        auto most = std::size_t{0};
        for (auto step = 0; step < 300; ++step) {
            for (auto& host : hosts) {
                if (host.choose({cold}, need, settings, now)) {
                    host.started(cold, need, settings, now);
                    sentAt.push_back(now);
                }
            }
            while (!sentAt.empty() && sentAt.front() <= now - Milliseconds(1'000)) {
                sentAt.pop_front();
            }
            most = std::max(most, sentAt.size());
            now += Milliseconds(10);
        }
        CHECK_TRUE(most <= 25 * 1.5 + 5); // What the site allows in any second.
    }
}

TEST(BackendChoice, aServerWithOverdueRequestsIsLeftForOthers)
{
    const auto servers = std::vector{server(1), server(2)};
    servers[0]->health.setElsewhere(0, 1);
    servers[1]->running = 3;
    for (auto time = 0; time < 3; ++time) {
        CHECK_EQUAL(2U, choice.choose(servers, need, settings, now)->number);
    }
}

TEST(BackendChoice, noRequestIsSentAgainWhereAllServersAreLate)
{
    const auto servers = std::vector{server(1), server(2), server(3)};
    need.tried.insert(1);
    CHECK_TRUE(isAnyPrompt(servers, need, now));
    servers[1]->health.setElsewhere(0, 1);
    CHECK_TRUE(isAnyPrompt(servers, need, now));
    servers[2]->awaited.insert(now - Milliseconds(1));
    CHECK_FALSE(isAnyPrompt(servers, need, now));
    servers[0]->health.setElsewhere(0, 0);
    CHECK_FALSE(isAnyPrompt(servers, need, now)); // It was tried.
}

TEST_GROUP(Admission)
{
    Admission admission{7};
    Instant now{Milliseconds(100'000)};
    std::vector<BackendPtr> servers{server(1, "a", 12), server(2, "a", 12)};

    auto begun(int priority)->int
    {
        auto admitted = 0;
        for (auto time = 0; time < 1'000; ++time) {
            admitted += admission.mayBegin(servers, priority, now) ? 1 : 0;
        }
        return admitted;
    }
};

TEST(Admission, everyProgramBeginsWhilePlacesAreFree)
{
    servers[0]->running = 6;
    servers[1]->runningElsewhere = 10;
    CHECK_EQUAL(1'000, begun(1));
}

TEST(Admission, noneBeginsWhereRequestsWait)
{
    servers[0]->running = 20;
    servers[1]->runningElsewhere = 20;
    CHECK_EQUAL(0, begun(1));
}

TEST(Admission, nearTheLimitAPartBeginsAndTheUrgentOnesLonger)
{
    servers[0]->running = 11;
    servers[1]->running = 11;
    CHECK_TRUE(begun(1) > 200 && begun(1) < 500);
    CHECK_TRUE(begun(0) > 800);
}

TEST(Admission, placesOfServersThatFailDoNotCount)
{
    servers[0]->running = 11;
    servers[1]->health.record(ServerOutcome::Unreachable, 0, now);
    DOUBLES_EQUAL(11.0 / 12, loadOf(servers, now), 1e-9);
}

TEST(Admission, aProgramsFirstVisitIsToldFromTheNext)
{
    CHECK_TRUE(admission.isFirstVisit("p", now));
    CHECK_FALSE(admission.isFirstVisit("p", now + Milliseconds(1'000)));
    CHECK_TRUE(admission.isFirstVisit("q", now));
    CHECK_TRUE(admission.isFirstVisit("p", now + Milliseconds(60'000)));
}
