#include "admissiongate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace laburnummill::testing;
using laburnummill::framework::Milliseconds;

// clang-format off
TEST_GROUP(ProgramAdmission)
{
    /// Programs that need about 1,150 turns a second at a load of 1, which 45 engines of six slots can do.
    static auto plan(std::size_t hosts = 80) -> ProgramFleetPlan
    {
        auto made = ProgramFleetPlan();
        made.hosts = hosts;
        made.kinds = {{.perSecond = 73},
                      {.perSecond = 36, .turns = 11, .inputTokens = 327, .outputTokens = 73, .subAgentShare = 0.08,
                       .objectiveFactor = 1.3, .objectiveAllowanceMs = 400, .priority = 2}};
        return made;
    }

    /// Programs of both kinds that end in time within the next four seconds.
    static auto inTime(ProgramFleet& fleet) -> int
    {
        fleet.resetCounts();
        fleet.run(Milliseconds(4'000));
        return fleet.counts(0).inTime + fleet.counts(1).inTime;
    }

    static auto lateShare(const ProgramFleet& fleet) -> double
    {
        const auto late = fleet.counts(0).late + fleet.counts(1).late;
        return late / static_cast<double>(std::max(fleet.counts(0).inTime + fleet.counts(1).inTime + late, 1));
    }
};
// clang-format on

TEST(ProgramAdmission, whatBeginsAtTwoAndAHalfTimesTheCapacityEndsInTime)
{
    for (const auto hosts : {std::size_t{12}, std::size_t{80}}) {
        auto gate = AdmissionGate(plan(hosts), 2);
        auto fleet = ProgramFleet(plan(hosts), &gate);
        fleet.setLoad(0.9);
        fleet.run(Milliseconds(4'000));
        const auto best = inTime(fleet);
        fleet.setLoad(2.5);
        fleet.run(Milliseconds(8'000));
        // The overload lasts; the programs in time do not become fewer, and the more urgent kind is refused less.
        auto first = inTime(fleet);
        CHECK_TRUE(first >= 0.85 * best);
        CHECK_TRUE(lateShare(fleet) < 0.1);
        fleet.run(Milliseconds(16'000));
        CHECK_TRUE(inTime(fleet) >= 0.85 * best);
        CHECK_TRUE(gate.at(0).share(0) > 1.5 * gate.at(0).share(2));
        CHECK_TRUE(fleet.counts(1).inTime > 0);
    }
}

TEST(ProgramAdmission, nothingIsRefusedAtSevenTenthsOfTheCapacityAndSoonNothingAfterABurst)
{
    auto gate = AdmissionGate(plan(), 2);
    auto fleet = ProgramFleet(plan(), &gate);
    fleet.setLoad(0.7);
    fleet.run(Milliseconds(4'000));
    inTime(fleet);
    CHECK_EQUAL(0, fleet.counts(0).refused + fleet.counts(1).refused);
    // A burst, then rest: after three seconds programs begin as before.
    fleet.setLoad(2.0);
    fleet.run(Milliseconds(5'000));
    fleet.setLoad(0.7);
    fleet.run(Milliseconds(3'000));
    inTime(fleet);
    CHECK_TRUE(fleet.counts(0).refused + fleet.counts(1).refused <= (fleet.counts(0).asked + fleet.counts(1).asked) / 20);
}

TEST(ProgramAdmission, anAccountAtSevenTimesItsShareDoesNotTakeThatOfTheOthers)
{
    auto gate = AdmissionGate(plan(), 2);
    auto fleet = ProgramFleet(plan(), &gate);
    fleet.setLargeAccountShare(0.4); // Seven times the share of each of the ten others.
    fleet.setLoad(1.6);
    fleet.run(Milliseconds(8'000));
    fleet.resetCounts();
    fleet.run(Milliseconds(12'000));
    const auto servedShare = [&fleet](const std::string& account) {
        const auto& counts = fleet.countsOf(account);
        return counts.inTime / static_cast<double>(std::max(counts.asked, 1));
    };
    auto others = 0.0;
    for (auto number = 0; number < 10; ++number) {
        others += servedShare("account-" + std::to_string(number)) / 10;
    }
    CHECK_TRUE(others > 0.7);
    CHECK_TRUE(servedShare("large") < others);
    CHECK_TRUE(fleet.countsOf("large").inTime > fleet.countsOf("account-0").inTime); // It gets what the others leave.
}

TEST(ProgramAdmission, hostsThatAreCutOffOrRestartedDoNotOverloadTheEngines)
{
    auto gate = AdmissionGate(plan(), 2);
    auto fleet = ProgramFleet(plan(), &gate);
    fleet.setLoad(2.0);
    fleet.run(Milliseconds(6'000));
    for (auto host = std::size_t{0}; host < 8; ++host) {
        gate.cutOff(host);
        gate.restart(8 + host);
    }
    fleet.run(Milliseconds(4'000));
    inTime(fleet);
    CHECK_TRUE(lateShare(fleet) < 0.1);
    CHECK_TRUE(fleet.requestsAtChoice(0.9) <= plan().speed.slots + 2);
}
