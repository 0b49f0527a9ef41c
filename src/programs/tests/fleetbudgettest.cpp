#include "programs/tests/budgetfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>

// Several hosts share one program's budget. Invariant: at most the budget and one turn's tokens are handed out.

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;

TEST_GROUP(FleetBudget)
{
    Fleet fleet;

    auto checkBound()->void
    {
        CHECK_TEXT(fleet.handedOut <= s_budget + s_turn, std::to_string(fleet.handedOut).c_str());
    }

    /// Spends the whole budget at hosts that then lose their memory.
    auto spendBudgetAndForget()->void
    {
        for (auto turn = 0; turn < 3; ++turn) {
            fleet.start(0);
            fleet.run();
        }
        CHECK_EQUAL(s_budget, fleet.handedOut);
        for (auto number = 0; number < s_hosts; ++number) {
            fleet.restart(number);
        }
        fleet.store.isAway = true;
    }
};

TEST(FleetBudget, homesThatDoNotKnowAProgramGrantOneTurnTogetherWhenAskedAtTheSameMoment)
{
    spendBudgetAndForget();
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.start(number);
    }
    fleet.run();
    checkBound();
}

TEST(FleetBudget, dataCentresThatAreCutOffGrantOneTurnTogether)
{
    spendBudgetAndForget();
    fleet.cut();
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.start(number);
    }
    fleet.run();
    checkBound();
}

TEST(FleetBudget, aHostThatGrantedAndWasRestartedDoesNotGrantAgain)
{
    spendBudgetAndForget();
    for (auto round = 0; round < 3; ++round) {
        fleet.start(0);
        fleet.run();
        fleet.restart(0);
    }
    checkBound();
}

TEST(FleetBudget, aProgramThatStartsDuringAnOutageGetsATurn)
{
    fleet.store.isAway = true;
    fleet.start(1);
    fleet.run();
    CHECK_EQUAL(s_turn, fleet.handedOut);
}

TEST(FleetBudget, theBoundHoldsInAnyOrderOfOutagesCutsAndRestarts)
{
    auto broken = std::string();
    auto granted = 0;
    constexpr auto seeds = 40U;
    for (auto seed = 1U; seed <= seeds; ++seed) {
        auto random = std::minstd_rand(seed);
        auto trial = Fleet();
        for (auto step = 0; step < 12; ++step) {
            switch (random() % 8) {
            case 0:
                trial.setStoreAway(!trial.store.isAway);
                break;
            case 1:
                trial.cut();
                break;
            case 2:
                trial.group = {};
                break;
            case 3:
                trial.restart(static_cast<int>(random() % s_hosts));
                break;
            case 4:
                trial.recordGrants();
                break;
            default:
                for (auto turn = 0; turn < 3; ++turn) {
                    trial.start(static_cast<int>(random() % s_hosts));
                }
                trial.run();
            }
        }
        granted += trial.granted;
        if (trial.handedOut > s_budget + s_turn) {
            broken += "seed " + std::to_string(seed) + ": " + std::to_string(trial.handedOut) + "\n";
        }
    }
    CHECK_TEXT(broken.empty(), (broken + std::to_string(granted) + " turns granted").c_str());
}
