#include "testing/simulation/faultschedule.h"

#include <CppUTest/TestHarness.h>

using laburnummill::coordination::ProtocolRules;
using laburnummill::framework::Milliseconds;
using laburnummill::testing::FaultSchedule;
using laburnummill::testing::VirtualFleet;

namespace {

constexpr auto s_shard = "shard-1";
constexpr auto s_failoverLimit = Milliseconds(10'000); ///< target for failover after a crash
constexpr auto s_handOverLimit = Milliseconds(200);    ///< target for planned hand-over
constexpr auto s_oneMinute = Milliseconds(60'000);

} // namespace

TEST_GROUP(Failover)
{
    VirtualFleet fleet{5, 7, ProtocolRules()};

    void setup() override
    {
        CHECK_TRUE(fleet.runUntil([this] { return hasAllMembers() && fleet.actor(s_shard).has_value(); }, s_failoverLimit).has_value());
    }

    void teardown() override
    {
        LONGS_EQUAL(0, fleet.overlaps());
        LONGS_EQUAL(0, fleet.invariantViolations());
    }

    auto hasAllMembers()->bool
    {
        for (auto host = std::size_t{0}; host < fleet.size(); ++host) {
            const auto view = fleet.participant(host).view("dc");
            if (!view || view->members.size() != fleet.size()) {
                return false;
            }
        }
        return true;
    }

    auto isOwnedByAnotherHost(std::size_t host)->bool
    {
        const auto actor = fleet.actor(s_shard);
        return actor && *actor != host;
    }
};

TEST(Failover, aShardOfADeadOwnerFailsOverWithinTenSeconds)
{
    const auto owner = *fleet.actor(s_shard);
    fleet.crash(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, s_failoverLimit).has_value());
    // The dead host is removed from the view and joins again as a new member.
    CHECK_TRUE(fleet.runUntil([&] { return fleet.participant((owner + 1) % 5).view("dc")->members.size() == 4; }, s_oneMinute).has_value());
    fleet.start(owner);
    CHECK_TRUE(fleet.runUntil([&] { return hasAllMembers() && fleet.actor(s_shard) == owner; }, s_failoverLimit).has_value());
}

TEST(Failover, aShardOfADeadOwnerFailsOverWhileTheStoreIsDown)
{
    fleet.faults().storeDown = true;
    fleet.runFor(s_oneMinute);
    const auto owner = *fleet.actor(s_shard);
    fleet.crash(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, s_failoverLimit).has_value());
    const auto actingOwner = fleet.actor(s_shard);
    // The acting owner keeps the shard after the store recovers and the view changes.
    fleet.faults().storeDown = false;
    CHECK_TRUE(fleet.runUntil([&] { return fleet.participant((owner + 1) % 5).view("dc")->members.size() == 4; }, s_oneMinute).has_value());
    CHECK_TRUE(fleet.runUntil([&] { return fleet.actor(s_shard).has_value(); }, s_handOverLimit).has_value());
    CHECK_TRUE(fleet.actor(s_shard) == actingOwner);
}

TEST(Failover, aFencedOwnerThatResumesMayNotAct)
{
    fleet.faults().storeDown = true;
    const auto owner = *fleet.actor(s_shard);
    fleet.pause(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, s_failoverLimit).has_value());
    fleet.resume(owner);
    fleet.runFor(s_oneMinute);
    CHECK_TRUE(isOwnedByAnotherHost(owner));
    // After the store recovers, the host joins again and owns its shard again.
    fleet.faults().storeDown = false;
    CHECK_TRUE(fleet.runUntil([&] { return fleet.actor(s_shard) == owner; }, s_oneMinute).has_value());
}

TEST(Failover, aLeavingOwnerHandsOverWithin200Milliseconds)
{
    const auto owner = *fleet.actor(s_shard);
    fleet.leave(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, s_handOverLimit).has_value());
}

TEST(Failover, aLeavingOwnerHandsOverWithinOneSecondWhileTheStoreIsDown)
{
    fleet.faults().storeDown = true;
    const auto owner = *fleet.actor(s_shard);
    fleet.leave(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, Milliseconds(1'000)).has_value());
}

TEST(Failover, storeWritesOfUnknownOutcomeAreResolvedByReadingBack)
{
    fleet.faults().loseStoreAnswersPercent = 60;
    const auto owner = *fleet.actor(s_shard);
    fleet.crash(owner);
    CHECK_TRUE(fleet.runUntil([&] { return isOwnedByAnotherHost(owner); }, s_failoverLimit).has_value());
    fleet.start(owner);
    CHECK_TRUE(fleet.runUntil([&] { return fleet.actor(s_shard) == owner; }, s_oneMinute).has_value());
}

TEST(Failover, anOwnerWithoutStoreAccessKeepsItsShardWhilePeersHaveAccess)
{
    const auto owner = *fleet.actor(s_shard);
    fleet.faults().cutOffStore = {fleet.host(owner)};
    fleet.runFor(s_oneMinute);
    CHECK_TRUE(fleet.actor(s_shard) == owner);
}

TEST_GROUP(StoreOutage)
{
    VirtualFleet fleet{3, 7, ProtocolRules()};
};

TEST(StoreOutage, ofTwoHoursDoesNotChangeTheOwner)
{
    fleet.runFor(s_failoverLimit);
    const auto owner = fleet.actor(s_shard);
    CHECK_TRUE(owner.has_value());
    fleet.faults().storeDown = true;
    for (auto minute = 0; minute < 2 * 60; ++minute) {
        fleet.runFor(s_oneMinute);
        CHECK_TRUE(fleet.actor(s_shard) == owner);
    }
    LONGS_EQUAL(0, fleet.overlaps());
}

TEST_GROUP(RandomFaults){auto checkInvariants(std::uint64_t seed)->void{auto fleet = VirtualFleet(3 + seed % 5, seed, ProtocolRules());
auto faults = FaultSchedule(fleet);
for (auto step = 0; step < 150'000; ++step) {
    faults.step();
}
LONGS_EQUAL(0, fleet.overlaps());
LONGS_EQUAL(0, fleet.invariantViolations());
CHECK_TRUE(fleet.ownedShare() > 0.5);
}
}
;

TEST(RandomFaults, neverCauseTwoOwnersOfAShard)
{
    for (const auto seed : {11, 12, 13, 14, 15}) {
        checkInvariants(static_cast<std::uint64_t>(seed));
    }
}
