#include "programs/tokentransfers.h"
#include "programs/tests/budgetfleet.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;

TEST_GROUP(TokenTransfers)
{
    TokenTransfers transfers;
    Instant now = Instant(Milliseconds(100'000));
};

TEST(TokenTransfers, giveBackTheTokensOfALostAnswerOnce)
{
    CHECK_TRUE(transfers.mayBegin(7));
    transfers.record(7, 280, now);
    CHECK_EQUAL(280U, transfers.cancel(7, now));
    CHECK_EQUAL(0U, transfers.cancel(7, now));
}

TEST(TokenTransfers, doNotBeginOnceTheyAreCancelled)
{
    CHECK_EQUAL(0U, transfers.cancel(7, now));
    CHECK_FALSE(transfers.mayBegin(7));
    CHECK_TRUE(transfers.mayBegin(8));
}

TEST(TokenTransfers, ofHostsWithoutIdsAreFinal)
{
    transfers.record(0, 280, now);
    CHECK_TRUE(transfers.mayBegin(0));
}

/// Guards against 402 to programs of which no turn has run, after answers between hosts were lost.
TEST(TokenTransfers, answersThatAreLostCostABudgetNothing)
{
    auto fleet = Fleet();
    for (auto turn = 0; turn < 12; ++turn) {
        fleet.lostAnswers = 1;
        fleet.start(1, 0);
        fleet.run();
    }
    fleet.lostAnswers = 0;
    fleet.handedOut = 0;
    fleet.spend(0);
    CHECK_EQUAL(s_budget, fleet.handedOut);
}
