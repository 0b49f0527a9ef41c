#include "programs/tests/budgetfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>

// Tokens that hosts had claimed and not used return to the program's budget, or stay few, when the hosts end.

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;

TEST_GROUP(BudgetAfterRestarts)
{
    static constexpr auto s_usualTurn = std::uint64_t{28};

    Fleet fleet;

    void setup() override
    {
        fleet.beginLargeProgram();
    }

    auto turn(int host, std::uint64_t used = s_usualTurn)->BudgetOutcome
    {
        fleet.start(host, used);
        fleet.run();
        return fleet.outcome;
    }

    auto pause(Milliseconds time)->void
    {
        fleet.clock.leap(time);
        for (const auto& host : fleet.hosts) {
            host->ledger.releaseUnused();
        }
        fleet.run();
    }

    auto stop(int host)->void
    {
        fleet.hosts[host]->ledger.stopHolding();
        fleet.run();
        for (auto tick = 0; tick < 3; ++tick) {
            fleet.hosts[host]->ledger.releaseUnused();
            fleet.run();
        }
        CHECK_FALSE(fleet.hosts[host]->ledger.hasUnreleased());
        fleet.restart(host);
    }

    auto restartAll()->void
    {
        for (auto host = 0; host < s_hosts; ++host) {
            fleet.restart(host);
        }
    }
};

/// Guards against 402 to programs with unspent budgets after all processes were killed.
TEST(BudgetAfterRestarts, aProgramGoesOnAfterAllHostsWereKilled)
{
    for (auto host : {0, 2, 4}) {
        LONGS_EQUAL(BudgetOutcome::Reserved, turn(host));
    }
    restartAll();
    for (auto host = 0; host < s_hosts; ++host) {
        LONGS_EQUAL(BudgetOutcome::Reserved, turn(host));
        pause(Milliseconds(250));
    }
}

TEST(BudgetAfterRestarts, aProgramThatUsesLittleOfItsBudgetIsNeverRefused)
{
    const auto budgets = {4 * s_turn, 8 * s_turn, 40 * s_turn};
    for (auto seed = 1U; seed <= 24; ++seed) {
        auto random = std::minstd_rand(seed);
        auto runs = Fleet();
        runs.beginLargeProgram();
        runs.budget = *(budgets.begin() + seed % budgets.size());
        const auto usable = ClaimPolicy::sharedTokens(runs.budget, s_turn) - s_turn;
        while (runs.handedOut + s_usualTurn <= usable) {
            const auto host = static_cast<int>(random() % s_hosts);
            runs.start(host, s_usualTurn);
            runs.run();
            CHECK_TEXT(runs.outcome == BudgetOutcome::Reserved, ("seed " + std::to_string(seed)).c_str());
            runs.clock.leap(Milliseconds(250));
            for (const auto& each : runs.hosts) {
                each->ledger.releaseUnused();
            }
            runs.run();
            if (random() % 3 == 0) {
                runs.restart(static_cast<int>(random() % s_hosts));
            }
            for (auto host = 0; random() % 4 == 0 && host < s_hosts; ++host) {
                runs.restart(host);
            }
        }
    }
}

TEST(BudgetAfterRestarts, plannedRestartsCostNothing)
{
    while (fleet.handedOut + s_turn <= fleet.budget) {
        const auto host = static_cast<int>(fleet.handedOut / s_usualTurn % s_hosts);
        LONGS_EQUAL(BudgetOutcome::Reserved, turn(host));
        stop((host + 1) % s_hosts);
        stop(host);
    }
    LONGS_EQUAL(BudgetOutcome::Exhausted, turn(0, s_turn));
}

TEST(BudgetAfterRestarts, aProgramThatPausesLosesNothingToKilledHosts)
{
    while (fleet.handedOut + s_turn <= fleet.budget) {
        LONGS_EQUAL(BudgetOutcome::Reserved, turn(static_cast<int>(fleet.handedOut / s_usualTurn % s_hosts)));
        pause(Milliseconds(3'000));
        restartAll();
    }
    LONGS_EQUAL(BudgetOutcome::Exhausted, turn(0, s_turn));
}

TEST(BudgetAfterRestarts, aHostNeverHoldsMoreThanItsEntryWhileTurnsAndReleasesOverlap)
{
    for (auto seed = 1U; seed <= 10; ++seed) {
        auto random = std::minstd_rand(seed);
        auto runs = Fleet();
        runs.beginLargeProgram();
        runs.budget = 3 * s_turn;
        runs.store.longestAnswerTime = Milliseconds(6);
        for (auto step = 0; step < 12; ++step) {
            runs.clock.leap(Milliseconds(250));
            for (auto turns = 1 + random() % 3; turns > 0; --turns) {
                runs.start(0, random() % 60);
            }
            runs.hosts[0]->ledger.releaseUnused();
            runs.run();
            const auto program = runs.hosts[0]->table.find(runs.key);
            const auto held = program->holding.spent() + program->holding.free();
            CHECK_TEXT(held <= program->budget, ("seed " + std::to_string(seed)).c_str());
            CHECK_TRUE(held <= program->row.holdings(0).granted() + program->unrecordedTokens);
        }
    }
}
