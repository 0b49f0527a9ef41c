#include "testing/simulation/faultschedule.h"

#include <CppUTest/TestHarness.h>

using laburnummill::coordination::ProtocolRules;
using laburnummill::framework::Milliseconds;
using laburnummill::testing::FaultSchedule;
using laburnummill::testing::VirtualFleet;

namespace {

constexpr auto s_shard = "shard-1";
constexpr auto s_formationTime = Milliseconds(10'000);

} // namespace

/// Each test disables one safety mechanism and checks that random faults then lead to two owners of a shard at a time.
TEST_GROUP(SafetyMechanism)
{
    ProtocolRules rules;

    auto hasOverlappingOwners()->bool
    {
        for (auto seed = std::uint64_t{1}; seed <= 60; ++seed) {
            auto fleet = VirtualFleet(3 + seed % 3, seed, rules);
            auto faults = FaultSchedule(fleet);
            for (auto step = 0; step < 60'000; ++step) {
                faults.step();
                if (fleet.overlaps() > 0) {
                    return true;
                }
            }
        }
        return false;
    }
};

TEST(SafetyMechanism, waitsForTheEndOfAPromiseBeforeFencing)
{
    rules.suspicionTimeout = Milliseconds(1'000);
    rules.awaitPromiseEnd = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, letsPromisesOutlastLeases)
{
    rules.suspicionTimeout = Milliseconds(1'000);
    rules.promiseOutlastsLease = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, requiresAMajorityOfPromisesWithoutTheStore)
{
    rules.fullPromiseQuorum = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, requiresAQuorumOfAcknowledgementsForANewView)
{
    rules.fullAcknowledgeQuorum = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, requiresAMajorityForFences)
{
    rules.fullFenceQuorum = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, waitsForLeasesOfEarlierViews)
{
    rules.awaitEarlierLeases = false;
    CHECK_TRUE(hasOverlappingOwners());
}

TEST(SafetyMechanism, countsALeaseFromTheStartOfItsRenewal)
{
    rules.leaseFromStart = false;
    CHECK_TRUE(hasOverlappingOwners());
}

/// Checks of mechanisms whose absence causes an error only after several faults in a specific order. Random faults seldom
/// occur in that order.
TEST_GROUP(SafetyMechanismInScriptedFaults)
{
    ProtocolRules rules;

    /// A paused owner is fenced and then resumes. It can reach one peer and the store. The acting owner can reach neither
    /// of them.
    auto overlapsAfterFence()->std::uint64_t
    {
        auto fleet = VirtualFleet(4, 3, rules);
        fleet.runFor(s_formationTime);
        const auto owner = *fleet.actor(s_shard);
        fleet.faults().storeDown = true;
        fleet.pause(owner);
        CHECK_TRUE(fleet.runUntil([&] { return fleet.actor(s_shard).has_value(); }, s_formationTime).has_value());
        const auto actingOwner = *fleet.actor(s_shard);
        auto others = std::vector<std::string>();
        for (auto host = std::size_t{0}; host < fleet.size(); ++host) {
            if (host != owner && host != actingOwner) {
                others.push_back(fleet.host(host));
            }
        }
        fleet.faults().cutOffPeers = {fleet.host(actingOwner), others.front()};
        fleet.faults().cutOffStore = {fleet.host(actingOwner), others.front(), others.back()};
        fleet.faults().storeDown = false;
        fleet.resume(owner);
        fleet.runFor(s_formationTime);
        return fleet.overlaps();
    }

    /// A host joins and takes over the shard of an owner that receives no new views, neither from peers nor from the store.
    auto overlapsAfterJoin()->std::uint64_t
    {
        auto fleet = VirtualFleet(4, 3, rules);
        fleet.runFor(s_formationTime);
        const auto joiner = *fleet.actor(s_shard);
        fleet.crash(joiner);
        fleet.runFor(2 * s_formationTime);
        const auto owner = *fleet.actor(s_shard);
        fleet.faults().missViews = {fleet.host(owner)};
        fleet.faults().cutOffStore = {fleet.host(owner)};
        fleet.start(joiner);
        fleet.runFor(2 * s_formationTime);
        return fleet.overlaps();
    }

    /// Two of three hosts are cut off from the store and all other hosts. More hosts join, and `maxDurationWithoutStore` passes.
    auto overlapsAfterLongIsolation()->std::uint64_t
    {
        rules.maxDurationWithoutStore = 2 * s_formationTime;
        auto fleet = VirtualFleet(6, 5, rules);
        for (const auto host : {3, 4, 5}) {
            fleet.crash(static_cast<std::size_t>(host));
        }
        fleet.runFor(2 * s_formationTime);
        fleet.faults().cutOffPeers = {fleet.host(0), fleet.host(1)};
        fleet.faults().cutOffStore = fleet.faults().cutOffPeers;
        for (const auto host : {3, 4, 5}) {
            fleet.start(static_cast<std::size_t>(host));
        }
        fleet.runFor(4 * rules.maxDurationWithoutStore);
        return fleet.overlaps();
    }
};

TEST(SafetyMechanismInScriptedFaults, refusesPromisesToFencedMembers)
{
    LONGS_EQUAL(0, overlapsAfterFence());
    rules.refuseFenced = false;
    CHECK_TRUE(overlapsAfterFence() > 0);
}

TEST(SafetyMechanismInScriptedFaults, endsPromisesOfAnEarlierView)
{
    LONGS_EQUAL(0, overlapsAfterJoin());
    rules.laterViewEndsPromises = false;
    CHECK_TRUE(overlapsAfterJoin() > 0);
}

TEST(SafetyMechanismInScriptedFaults, limitsTheDurationOfLeasesWithoutTheStore)
{
    LONGS_EQUAL(0, overlapsAfterLongIsolation());
    rules.limitDurationWithoutStore = false;
    CHECK_TRUE(overlapsAfterLongIsolation() > 0);
}
