#include "testing/support/ownership.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing; // NOLINT(google-build-using-namespace)
using laburnummill::framework::Json;

TEST_GROUP(OwnerDeath)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 4, 1, 1}};
    std::vector<std::string> hosts;
    std::string program;
    std::string owner;
    std::vector<std::string> others;

    void setup() override
    {
        CHECK_TRUE(fleet.startAll());
        hosts = fleet.hosts();
        CHECK_TRUE(waitUntil([this] { return haveView(fleet, hosts, "dc-1", 4); }));
        // A client account's bucket may be empty at first: such a refusal is retried.
        // The program starts at the host that takes it over later, so that it has an old copy of it by then.
        CHECK_TRUE(waitUntil([&] {
            program = startProgram(fleet, hosts.front());
            owner = firstInRank(hosts, program);
            others = without(hosts, owner);
            return !program.empty() && owner != hosts.front() && firstInRank(others, program) == hosts.front();
        }));
        CHECK_TRUE(waitUntil([&] { return callModel(fleet, others.front(), program, 1, "quote") == 200; }));
    }

    auto isFencedEverywhere()->bool
    {
        return std::ranges::all_of(others, [this](const auto& host) {
            const auto dump = coordinationDump(fleet, host);
            return dump.contains("fenced") && dump["fenced"] == Json::array({owner});
        });
    }
};

TEST(OwnerDeath, leavesItsProgramsToAnotherHost)
{
    fleet.daemon(owner).kill();
    CHECK_TRUE(waitUntil([this] { return callModel(fleet, others.front(), program, 2, "proof") == 200; }));
    CHECK_TRUE(waitUntil([this] { return haveView(fleet, others, "dc-1", 3); }));
    // The host comes back as a new member and owns the program again.
    fleet.start(owner);
    CHECK_TRUE(waitUntil([this] { return haveView(fleet, hosts, "dc-1", 4); }));
    CHECK_TRUE(waitUntil([this] { return callModel(fleet, others.back(), program, 3, "print") == 200; }));
}

TEST(OwnerDeath, leavesItsShardsToAnotherHostWhileThePlatformIsDown)
{
    fleet.setFaults("platform", {{"down", true}});
    fleet.daemon(owner).kill();
    CHECK_TRUE(waitUntil([this] { return isFencedEverywhere(); }));
    CHECK_TRUE(haveView(fleet, others, "dc-1", 4));
    // Its history is in the platform's store: the call succeeds once that is back.
    fleet.setFaults("platform", {{"down", false}});
    CHECK_TRUE(waitUntil([this] { return callModel(fleet, others.front(), program, 2, "proof") == 200; }));
}
