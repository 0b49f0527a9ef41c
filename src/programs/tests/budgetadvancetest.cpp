#include "programs/tests/budgetfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>

// Tokens held in advance by hosts that are not the program's home. Host 0 is the home of hosts 0 and 1.

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;

namespace {

constexpr auto s_used = std::uint64_t{70};

} // namespace

TEST_GROUP(BudgetAdvance)
{
    Fleet fleet{TokenRequests::InAdvance};

    auto turn(int number, std::uint64_t used)->void
    {
        fleet.start(number, used);
        fleet.run();
    }

    auto free(int number)->std::uint64_t
    {
        const auto program = fleet.hosts[number]->table.find(fleet.key);
        return program ? program->holding.free() : 0;
    }

    /// Reserves the tokens of two turns, one after the other; returns how long each took.
    auto reserveTwice(int number)->std::vector<Milliseconds>
    {
        auto durations = std::vector<Milliseconds>();
        const auto demand =
            TokenDemand{.budget = s_budget, .maxTokens = s_turn, .isFirstTurn = false, .history = TurnHistory::SentByCaller};
        asio::co_spawn(
            fleet.context,
            [&]() -> Async<void> {
                for (auto turn = 0; turn < 2; ++turn) {
                    const auto startedAt = fleet.clock.now();
                    const auto reservation = co_await fleet.hosts[number]->ledger.reserve(fleet.key, demand);
                    CHECK_TRUE(reservation.outcome == BudgetOutcome::Reserved);
                    durations.push_back(std::chrono::duration_cast<Milliseconds>(fleet.clock.now() - startedAt));
                }
            },
            asio::detached);
        fleet.run();
        return durations;
    }
};

TEST(BudgetAdvance, aTurnAfterTheFirstFindsItsTokensWithoutACall)
{
    fleet.beginLargeProgram();
    turn(1, s_used);
    const auto calls = fleet.calls;
    reserveTwice(1);
    CHECK_EQUAL(calls + 1, fleet.calls); // Only the second turn, before whose start none has ended, asks the home.
}

TEST(BudgetAdvance, unusedTokensReturnToTheHome)
{
    fleet.beginLargeProgram();
    turn(1, s_used);
    CHECK_EQUAL(s_turn, free(1));
    const auto held = free(0) + free(1);
    fleet.hosts[1]->ledger.returnUnused();
    CHECK_EQUAL(s_turn, free(1)); // The next turn may still come.
    fleet.clock.leap(Milliseconds(1'000));
    fleet.hosts[1]->ledger.returnUnused();
    fleet.run();
    CHECK_EQUAL(held, free(0));

    turn(1, s_used);
    CHECK_EQUAL(s_turn, free(1));
    fleet.hosts[1]->ledger.stopHolding();
    fleet.run();
    CHECK_EQUAL(0U, free(1));
    CHECK_EQUAL(0, fleet.hosts[1]->ledger.openTransfers());
}

TEST(BudgetAdvance, theHomeRecallsTokensBeforeItRefusesATurn)
{
    turn(1, s_turn);
    turn(0, s_turn);
    turn(0, s_turn);
    CHECK_EQUAL(s_budget, fleet.handedOut);
}

TEST(BudgetAdvance, theHomeWaitsForTurnsOfHostsThatHoldTokens)
{
    turn(0, s_turn);
    const auto failedTurn = [this]() -> Async<void> {
        auto& ledger = fleet.hosts[1]->ledger;
        const auto demand =
            TokenDemand{.budget = s_budget, .maxTokens = s_turn, .isFirstTurn = false, .history = TurnHistory::SentByCaller};
        const auto reservation = co_await ledger.reserve(fleet.key, demand);
        CHECK_EQUAL(s_turn, reservation.tokens);
        auto timer = asio::steady_timer(fleet.context, Milliseconds(200));
        co_await timer.async_wait(asio::use_awaitable);
        CHECK_EQUAL(0U, ledger.settle(fleet.key, reservation.tokens, 0));
    };
    asio::co_spawn(fleet.context, failedTurn(), asio::detached);
    fleet.context.restart();
    fleet.context.run_for(Milliseconds(50));
    fleet.start(0);
    fleet.start(0);
    fleet.run();
    CHECK_EQUAL(s_budget, fleet.handedOut);
}

TEST(BudgetAdvance, aHostThatDiesLosesOneTurnsTokensAtMost)
{
    fleet.beginLargeProgram();
    turn(1, s_turn);
    CHECK_EQUAL(s_turn, free(1));
    fleet.restart(1);
    fleet.spend(0);
    CHECK_EQUAL(fleet.budget - s_turn, fleet.handedOut);
}

TEST(BudgetAdvance, aHostThatDiesLosesNothingOfASmallBudget)
{
    turn(1, s_turn);
    CHECK_EQUAL(0U, free(1));
    fleet.restart(1);
    fleet.spend(0);
    CHECK_EQUAL(s_budget, fleet.handedOut);
}

TEST(BudgetAdvance, aHomeThatDoesNotAnswerHoldsATurnNoLongerThanTheLimit)
{
    fleet.frozen = {0};
    const auto durations = reserveTwice(1);
    // The limit is 100 ms before any answer is known. The stand-in's claim is applied before it waits for the store's answer, so that it
    // waits the whole 60 ms of the store's time-out.
    CHECK_TEXT(durations[0] < Milliseconds(400), std::to_string(durations[0].count()).c_str());
    CHECK_TEXT(durations[1] < Milliseconds(140), std::to_string(durations[1].count()).c_str()); // The home is known to be silent.
}

TEST(BudgetAdvance, tokensOfALateAnswerAreNotLost)
{
    fleet.answerDelay = Milliseconds(300);
    turn(1, s_used);
    fleet.answerDelay = Milliseconds(0);
    CHECK_TRUE(free(1) <= s_turn);
    turn(0, s_turn);
    turn(0, s_turn);
    CHECK_EQUAL(s_used + 2 * s_turn, fleet.handedOut);
}

TEST(BudgetAdvance, requestsThatAreOfNoUseBecomeRare)
{
    auto advance = AdvanceTokens();
    auto requests = 0;
    auto now = Instant{};
    for (auto turn = 0; turn < 400; ++turn) {
        const auto key = ProgramKey{.account = "pub", .program = std::to_string(turn)};
        requests += advance.onTurnEnded(key, s_turn - s_used, s_turn, now).requested > 0 ? 1 : 0;
        advance.onRequestEnded(key);
        now += Milliseconds(1'000);
        advance.takeExpired(now);
    }
    CHECK_TEXT(requests < 150, std::to_string(requests).c_str());
}

TEST(BudgetAdvance, theBoundHoldsInAnyOrderOfFaults)
{
    auto broken = std::string();
    for (auto seed = 1U; seed <= 16U; ++seed) {
        auto random = std::minstd_rand(seed);
        auto trial = Fleet(TokenRequests::InAdvance);
        const auto hasOutages = seed % 2 == 0; // Without one, no host may exceed the budget at all.
        const auto any = [&random] { return static_cast<int>(random() % s_hosts); };
        for (auto step = 0; step < 16; ++step) {
            switch (random() % 18) {
            case 0:
                trial.setStoreAway(hasOutages && !trial.store.isAway);
                break;
            case 1:
                trial.cut();
                break;
            case 2:
                trial.group = {};
                break;
            case 3:
                trial.restart(any());
                break;
            case 4:
                trial.recordGrants();
                break;
            case 5:
                trial.frozen = random() % 2 == 0 ? std::set<int>() : std::set<int>{any()};
                break;
            case 6:
                trial.lostAnswers = static_cast<int>(random() % 3);
                break;
            case 7:
                trial.clock.leap(Milliseconds(1'000));
                std::ranges::for_each(trial.hosts, [](const auto& host) { host->ledger.returnUnused(); });
                break;
            default:
                trial.answerDelay = Milliseconds(random() % 4 == 0 ? 150 : 0);
                for (auto turn = 0; turn < 3; ++turn) {
                    trial.start(random() % 2 == 0 ? 1 : any(), random() % 4 == 0 ? s_used : s_turn);
                }
                trial.run();
            }
        }
        if (trial.handedOut > s_budget + (hasOutages ? s_turn : 0)) {
            broken += "seed " + std::to_string(seed) + ": " + std::to_string(trial.handedOut) + "\n";
        }
    }
    CHECK_TEXT(broken.empty(), broken.c_str());
}
