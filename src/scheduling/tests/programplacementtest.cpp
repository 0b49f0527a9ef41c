#include "testing/simulation/programfleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace laburnummill::testing;
using laburnummill::framework::Milliseconds;
using laburnummill::scheduling::PlacementRule;

// clang-format off
TEST_GROUP(ProgramPlacement)
{
    /// Two kinds of programs that need about `load` of 1,150 turns a second, which 45 engines of six slots can do with all prompts cached.
    static auto planAt(double load) -> ProgramFleetPlan
    {
        auto plan = ProgramFleetPlan();
        plan.kinds = {{.perSecond = 73 * load},
                      {.perSecond = 36 * load, .turns = 11, .inputTokens = 327, .outputTokens = 73, .subAgentShare = 0.08,
                       .objectiveFactor = 1.3, .objectiveAllowanceMs = 400, .priority = 2}};
        return plan;
    }

    static auto play(ProgramFleet& fleet) -> void
    {
        fleet.run(Milliseconds(4'000));
        fleet.resetCounts();
        fleet.run(Milliseconds(8'000));
    }

    static auto inTimeShare(const ProgramFleet& fleet, std::size_t kind) -> double
    {
        const auto& counts = fleet.counts(kind);
        return counts.inTime / static_cast<double>(std::max(counts.inTime + counts.late, 1));
    }
};
// clang-format on

TEST(ProgramPlacement, turnsDoNotWaitInOneQueueWhileOtherEnginesHaveFreeSlots)
{
    for (const auto hosts : {std::size_t{12}, std::size_t{80}, std::size_t{295}}) {
        auto plan = planAt(0.9);
        plan.hosts = hosts;
        auto fleet = ProgramFleet(plan);
        play(fleet);
        CHECK_TRUE(fleet.requestsAtChoice(0.9) <= plan.speed.slots + 1);
        CHECK_TRUE(inTimeShare(fleet, 0) > 0.95);
        CHECK_TRUE(inTimeShare(fleet, 1) > 0.9);
    }
}

TEST(ProgramPlacement, fewProbesAreSentWhileMostSlotsAreFree)
{
    auto fleet = ProgramFleet(planAt(0.3));
    play(fleet);
    CHECK_TRUE(fleet.probesPerTurn() < 0.5);
    CHECK_TRUE(fleet.turnStretch(0.9) < 1.5);
}

TEST(ProgramPlacement, turnsThatArriveAtOtherHostsDoNotOverloadEnginesWithUncachedPrompts)
{
    auto plan = planAt(0.8);
    plan.stayShare = 0.83;
    auto fleet = ProgramFleet(plan);
    play(fleet);
    CHECK_TRUE(fleet.requestsAtChoice(0.9) <= plan.speed.slots + 1);
    CHECK_TRUE(inTimeShare(fleet, 0) > 0.95);
}

TEST(ProgramPlacement, enginesThatShareTheirMachinesAreAvoidedWhileTheyAreSlow)
{
    auto plan = planAt(0.55);
    plan.changesPace = true;
    auto fleet = ProgramFleet(plan);
    play(fleet);
    auto former = ProgramFleet([&plan] {
        plan.rule = PlacementRule::EqualCost;
        return plan;
    }());
    play(former);
    CHECK_TRUE(fleet.turnStretch(0.9) < former.turnStretch(0.9));
    CHECK_TRUE(inTimeShare(fleet, 1) > inTimeShare(former, 1));
}

TEST(ProgramPlacement, longPromptsDoNotHoldUpShortOnes)
{
    auto plan = ProgramFleetPlan();
    plan.kinds = {{.perSecond = 90, .inputTokens = 300}, {.perSecond = 6, .inputTokens = 6'000, .priority = 1}};
    auto fleet = ProgramFleet(plan);
    play(fleet);
    CHECK_TRUE(inTimeShare(fleet, 0) > 0.95);
    CHECK_TRUE(inTimeShare(fleet, 1) > 0.95);
}
