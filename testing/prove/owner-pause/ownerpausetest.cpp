#include "testing/support/ownership.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace laburnummill::testing; // NOLINT(google-build-using-namespace)

TEST_GROUP(OwnerPause)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 4, 1, 1}};
    std::string program;
    std::string owner;
    std::vector<std::string> others;
    unsigned lateStatus = 0;

    void setup() override
    {
        CHECK_TRUE(fleet.startAll());
        const auto hosts = fleet.hosts();
        CHECK_TRUE(waitUntil([&] { return haveView(fleet, hosts, "dc-1", 4); }));
        // A client account's bucket may be empty at first: such a refusal is retried.
        // The account's limit is another host's, so that calls get as far as the frozen owner.
        CHECK_TRUE(waitUntil([&] {
            program = startProgram(fleet, hosts.front());
            owner = firstInRank(hosts, program);
            return !program.empty() && owner != limitsOwner(hosts);
        }));
        others = without(hosts, owner);
        CHECK_TRUE(waitUntil([&] { return callModel(fleet, owner, program, 1, "quote") == 200; }));
    }

    auto isFencedEverywhere()->bool
    {
        return std::ranges::all_of(others, [this](const auto& host) {
            const auto dump = coordinationDump(fleet, host);
            return dump.contains("fenced") && dump["fenced"].size() == 1;
        });
    }

    auto reachedEngine(const std::string& text)->bool
    {
        return fleet.fake("engine-dc-1-1").get("/received").body.find(text) != std::string::npos;
    }
};

TEST(OwnerPause, doesNotActOnWhatItFindsWhenItGoesOn)
{
    fleet.daemon(owner).send(SIGSTOP);
    // A relayed call waits at the frozen owner, while another host takes the program over and runs the same turn.
    auto late = std::thread([this] { lateStatus = callModel(fleet, others.front(), program, 2, "late-call"); });
    const auto isReplaced = waitUntil([this] { return haveView(fleet, others, "dc-1", 3); });
    const auto isServed = isReplaced && waitUntil([this] { return callModel(fleet, others.back(), program, 2, "proof") == 200; });
    fleet.daemon(owner).send(SIGCONT);
    late.join();
    CHECK_TRUE(isServed);
    // The host that goes on refuses the call as not run; the entry then asks the new owner, where the turn has passed.
    CHECK_TRUE(lateStatus == 409 || lateStatus == 503);
    CHECK_TRUE(reachedEngine("proof"));
    CHECK_FALSE(reachedEngine("late-call"));
    // The host is a member again and the program goes on.
    CHECK_TRUE(waitUntil([this] { return callModel(fleet, owner, program, 3, "print") == 200; }));
}

TEST(OwnerPause, hasNoLeaseWhenItGoesOnWhileThePlatformIsDown)
{
    fleet.setFaults("platform", {{"down", true}});
    fleet.daemon(owner).send(SIGSTOP);
    auto late = std::thread([this] { lateStatus = callModel(fleet, others.front(), program, 2, "late-call"); });
    const auto isFenced = waitUntil([this] { return isFencedEverywhere(); });
    fleet.daemon(owner).send(SIGCONT);
    late.join();
    CHECK_TRUE(isFenced);
    LONGS_EQUAL(503, lateStatus);
    CHECK_FALSE(reachedEngine("late-call"));
    LONGS_EQUAL(0, coordinationDump(fleet, owner).value("leaseRemainingMs", -1));
    // With the platform back it is a member again.
    fleet.setFaults("platform", {{"down", false}});
    CHECK_TRUE(waitUntil([this] { return coordinationDump(fleet, owner).value("leaseRemainingMs", -1) > 0; }));
}
