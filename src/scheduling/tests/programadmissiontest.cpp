#include "admissiongate.h"
#include <CppUTest/TestHarness.h>
using namespace laburnummill::testing;
using laburnummill::framework::Milliseconds;
TEST_GROUP(ProgramAdmission){};
TEST(ProgramAdmission, print)
{
  for (auto hosts : {std::size_t{80}, std::size_t{295}}) for (auto load : {0.7, 1.0, 1.5, 2.5}) for (auto gated : {0,1}) {
    auto plan = ProgramFleetPlan(); plan.hosts = hosts;
    plan.kinds = {{.perSecond = 73}, {.perSecond = 36, .turns = 11, .inputTokens = 327, .outputTokens = 73, .subAgentShare = 0.08,
                       .objectiveFactor = 1.3, .objectiveAllowanceMs = 400, .priority = 2}};
    auto gate = AdmissionGate(plan, 2);
    auto fleet = ProgramFleet(plan, gated ? &gate : nullptr);
    fleet.setLoad(0.5); fleet.run(Milliseconds(4000)); fleet.setLoad(load);
    printf("hosts %zu load %.1f gated %d:", hosts, load, gated);
    for (int w = 0; w < 6; ++w) { fleet.resetCounts(); fleet.run(Milliseconds(4000)); auto a = fleet.counts(0), b = fleet.counts(1);
      printf(" [%d %d+%d-%d | %d %d+%d-%d p90 %d s %.1f sh %.2f %.2f T %.2f L %.2f]", a.asked, a.inTime, a.late, a.refused, b.asked, b.inTime, b.late, b.refused, fleet.requestsAtChoice(.9), fleet.turnStretch(.5), gate.at(0).share(0), gate.at(0).share(2), gate.at(0).targetLoad(), gate.at(0).load().load); }
    printf("\n");
  }
}
