#include "testing/soak/gossip/gossipsoak.h"

#include <CppUTest/TestHarness.h>

using laburnummill::testing::GossipSoak;
using laburnummill::testing::SoakPlan;

namespace {

constexpr auto s_steps = std::uint64_t{20'000};

auto violationOf(SoakPlan plan) -> std::string
{
    auto soak = GossipSoak(1, plan);
    soak.run(s_steps);
    return soak.violation();
}

} // namespace

TEST_GROUP(GossipSoak){};

TEST(GossipSoak, invariantsHoldUnderFaults)
{
    auto soak = GossipSoak(1, {});
    soak.run(s_steps);
    STRCMP_EQUAL("", soak.violation().c_str());
    CHECK_TRUE(soak.accepted() > 100);
}

TEST(GossipSoak, acceptingLowerVersionsIsDetected)
{
    auto plan = SoakPlan();
    plan.rejectsLowerVersion = false;
    STRCMP_CONTAINS("a version fell", violationOf(plan).c_str());
}

TEST(GossipSoak, withoutGossipAndPlatformReadsAChangeIsNotInForceInTime)
{
    auto plan = SoakPlan();
    plan.hostsReadPlatform = false;
    plan.gossip.exchangesDigests = false;
    plan.gossip.relaysChanges = false;
    STRCMP_CONTAINS("is not in force", violationOf(plan).c_str());
}

TEST(GossipSoak, withoutRowVersionChecksTwoOperatorsWin)
{
    auto plan = SoakPlan();
    plan.change.checksRowVersion = false;
    STRCMP_CONTAINS("two operators won", violationOf(plan).c_str());
}

TEST(GossipSoak, withoutReadingBackAnAppliedChangeIsReportedAsRefused)
{
    auto plan = SoakPlan();
    plan.change.resolvesByReadingBack = false;
    STRCMP_CONTAINS("told no", violationOf(plan).c_str());
}
