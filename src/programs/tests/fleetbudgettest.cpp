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

/// A cut-off data centre grants a turn a third of its tokens while the store is away.
TEST_GROUP(PartialGrant)
{
    Fleet fleet;
    std::uint64_t granted = 0;

    void setup() override
    {
        fleet.store.isAway = true;
        fleet.cut();
        asio::co_spawn(
            fleet.context,
            [this]() -> Async<void> {
                const auto reservation = co_await fleet.hosts[0]->ledger.reserve(
                    fleet.key, {.budget = s_budget, .maxTokens = s_turn, .isFirstTurn = false, .history = TurnHistory::SentByCaller});
                granted = reservation.tokens;
            },
            asio::detached);
        fleet.run();
        CHECK_EQUAL(s_turn / 3, granted);
    }

    auto extend()->bool
    {
        auto isExtended = false;
        asio::co_spawn(
            fleet.context,
            [&]() -> Async<void> {
                isExtended = co_await fleet.hosts[0]->ledger.extend(fleet.key, s_turn - granted, fleet.clock.now() + Milliseconds(500));
            },
            asio::detached);
        fleet.run();
        return isExtended;
    }

    /// The turn ends with all tokens that it was given.
    auto end(std::uint64_t tokens)->void
    {
        fleet.handedOut += tokens;
        fleet.hosts[0]->ledger.settle(fleet.key, tokens, tokens);
    }
};

// Guards against streams that were cut off where the tokens granted without the store were used up, although the store answered again.
TEST(PartialGrant, aRunningTurnGetsTheTokensThatItLacksOnceTheStoreAnswers)
{
    fleet.setStoreAway(false);
    CHECK_TRUE(extend());
    end(s_turn);
    fleet.group = {};
    fleet.recordGrants();
    for (const auto number : {0, 2, 4}) {
        fleet.spend(number);
    }
    CHECK_TRUE(fleet.handedOut <= s_budget + s_turn);
    CHECK_TRUE(fleet.handedOut >= s_budget);
}

TEST(PartialGrant, noFurtherTokensAreGrantedWithoutTheStore)
{
    CHECK_FALSE(extend());
    end(granted);
    CHECK_EQUAL(0U, fleet.hosts[0]->ledger.reserved(fleet.key));
}

TEST_GROUP(LargeBudget)
{
    Fleet fleet;

    void setup() override
    {
        fleet.beginLargeProgram();
    }

    auto checkBound()->void
    {
        CHECK_TEXT(fleet.handedOut <= fleet.budget + s_turn, std::to_string(fleet.handedOut).c_str());
    }

    /// The first turn of the program runs without the store at a host of the former build, and uses all that is granted.
    auto startDuringOutage()->void
    {
        fleet.setStoreAway(true);
        fleet.grantAsFormerBuild(0, fleet.budget / 4);
    }
};

// Guards against tokens that only hosts remember: after the loss of all hosts they were handed out once more.
TEST(LargeBudget, noTokensAreGrantedThatTheRowDoesNotContain)
{
    fleet.setStoreAway(true);
    fleet.isFirstTurn = true;
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.spend(number);
        CHECK_EQUAL(0U, fleet.handedOut);
        CHECK_TRUE(fleet.outcome == BudgetOutcome::Undetermined);
    }
    fleet.setStoreAway(false);
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.spend(number);
    }
    CHECK_EQUAL(fleet.budget, fleet.handedOut);
}

TEST(LargeBudget, isNotExceededByOutagesThatFollowEachOtherWithTheLossOfAllHosts)
{
    for (auto outage = 0; outage < 4; ++outage) {
        fleet.isFirstTurn = outage == 0;
        fleet.start(outage, s_turn / 2);
        fleet.run();
        fleet.setStoreAway(true);
        for (auto number = 0; number < s_hosts; ++number) {
            fleet.spend(number); // What hosts hold ahead.
        }
        for (auto number = 0; number < s_hosts; ++number) {
            fleet.restart(number);
        }
        for (auto number = 0; number < s_hosts; ++number) {
            fleet.spend(number);
        }
        fleet.setStoreAway(false);
    }
    fleet.spend(0);
    CHECK_TRUE(fleet.handedOut <= fleet.budget);
    CHECK_TRUE(fleet.outcome == BudgetOutcome::Exhausted);
}

// Guards against review/4: while any host was unreachable, programs were refused the last quarter of a large budget.
TEST(LargeBudget, isSpentWholeWhileOneHostIsLost)
{
    fleet.group = {0, 0, 0, 0, 0, 1};
    fleet.spend(0);
    CHECK_EQUAL(fleet.budget, fleet.handedOut);
    CHECK_TRUE(fleet.outcome == BudgetOutcome::Exhausted);
}

TEST(LargeBudget, keepsAQuarterBackWhileMostHostsAreUnreachable)
{
    fleet.group = {0, 0, 1, 1, 1, 1};
    fleet.spend(0);
    CHECK_EQUAL(fleet.budget - fleet.budget / 4, fleet.handedOut);
    CHECK_TRUE(fleet.outcome == BudgetOutcome::Undetermined);
    fleet.group = {};
    fleet.spend(0);
    CHECK_EQUAL(fleet.budget, fleet.handedOut);
}

TEST(LargeBudget, isExceededByOneTurnAtMostWhereAProgramThatHasUsedItReturnsThroughCutOffDataCentres)
{
    fleet.spend(0);
    CHECK_EQUAL(fleet.budget, fleet.handedOut);
    fleet.cut();
    fleet.setStoreAway(true);
    fleet.isFirstTurn = true;
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.spend(number);
    }
    checkBound();
}

// Guards against grants without the store that were forgotten with the host that had granted them.
TEST(LargeBudget, countsTheGrantsOfAHostThatWasRestartedBeforeItRecordedThem)
{
    startDuringOutage();
    fleet.restart(0);
    fleet.setStoreAway(false);
    fleet.spend(3);
    checkBound();
    CHECK_TRUE(fleet.outcome == BudgetOutcome::Exhausted);
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.restart(number); // The row tells of the grants from now on.
    }
    fleet.spend(4);
    checkBound();
}

TEST(LargeBudget, ofAProgramThatStartedDuringAnOutageIsSpentWholeOnceItsGrantsAreRecorded)
{
    startDuringOutage();
    fleet.setStoreAway(false);
    fleet.recordGrants();
    fleet.group = {1, 0, 0, 0, 0, 0}; // The host that granted them is lost.
    fleet.spend(3);
    CHECK_EQUAL(fleet.budget, fleet.handedOut);
}

// Guards against grants of a host that is lost together with the support of the host that claims the rest of the budget.
TEST(LargeBudget, countsTheGrantsOfALostHostAtOneThatHasForgottenItsSupport)
{
    startDuringOutage();
    fleet.restart(3);
    fleet.restart(0);
    fleet.setStoreAway(false);
    fleet.spend(3);
    checkBound();
    CHECK_TRUE(fleet.outcome == BudgetOutcome::Exhausted);
}

TEST(LargeBudget, countsTheGrantsOfAHostThatAloneIsCutOffFromTheStore)
{
    fleet.cutStore(0, true);
    fleet.grantAsFormerBuild(0, fleet.budget / 4);
    fleet.spend(2);
    checkBound();
    fleet.cutStore(0, false);
    fleet.recordGrants();
    fleet.spend(0);
    fleet.spend(4);
    checkBound();
}

// Guards against claims by hosts that do not reach a grantor which others do reach.
TEST(LargeBudget, countsTheGrantsOfAHostThatOnlyItsSupportersReach)
{
    fleet.cutPairs = {{0, 4}, {0, 5}};
    fleet.cutStore(0, true);
    fleet.grantAsFormerBuild(0, fleet.budget / 6);
    CHECK_TRUE(fleet.handedOut > s_turn);
    fleet.spend(4);
    CHECK_TRUE(fleet.handedOut <= fleet.budget);
    fleet.cutStore(0, false);
    fleet.recordGrants();
    fleet.spend(4);
    checkBound();
}

namespace {

constexpr auto s_failures = 12U;            ///< kinds of steps of a history in which something fails or turns run
constexpr auto s_failuresAndReleases = 18U; ///< and those in which hosts give tokens back

auto releaseTokens(Fleet& trial, Host& host) -> void
{
    host.ledger.releaseUnused();
    trial.run();
}

/// A step in which hosts give tokens back, or the store leaves their writes without an answer. Returns false if `kind` is none of these.
auto playRelease(Fleet& trial, unsigned kind, int number, std::minstd_rand& random) -> bool
{
    const auto& stopped = trial.hosts[number];
    switch (kind) {
    case 12:
    case 13:
        trial.clock.leap(Milliseconds(random() % 3'000));
        for (const auto& host : trial.hosts) {
            releaseTokens(trial, *host);
        }
        return true;
    case 14:
        stopped->ledger.stopHolding();
        trial.run();
        releaseTokens(trial, *stopped);
        trial.restart(number);
        return true;
    case 15:
        trial.store.longestAnswerTime = Milliseconds(random() % 6);
        trial.store.unansweredWrites = static_cast<int>(random() % 4);
        return true;
    case 16:
        trial.store.applyDelayed();
        return true;
    default:
        return false;
    }
}

/// A few turns at the same time.
auto playTurns(Fleet& trial, bool isGivingBack, std::minstd_rand& random) -> void
{
    for (auto turn = 0; turn < 3; ++turn) {
        const auto host = static_cast<int>(random() % s_hosts);
        trial.start(host, isGivingBack ? random() % s_turn : s_budget);
        trial.isFirstTurn = false;
    }
    if (isGivingBack) {
        std::ranges::for_each(trial.hosts, [](const auto& host) { host->ledger.releaseUnused(); });
    }
    trial.run();
}

/// Some steps of a history in which the store, single ways to it, data centres and hosts fail in any order while turns run.
auto playHistory(Fleet& trial, unsigned seed, int steps, unsigned kinds) -> void
{
    auto random = std::minstd_rand(seed);
    for (auto step = 0; step < steps; ++step) {
        const auto number = static_cast<int>(random() % s_hosts);
        const auto kind = random() % kinds;
        if (playRelease(trial, kind, number, random)) {
            continue;
        }
        switch (kind) {
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
            trial.restart(number);
            break;
        case 4:
            trial.recordGrants();
            break;
        case 5:
            trial.cutStore(number, !trial.hosts[number]->way.isCut);
            break;
        case 11:
            trial.cutPairs = trial.cutPairs.empty() && number + 2 < s_hosts ? std::set<std::pair<int, int>>{{number, number + 2}}
                                                                            : std::set<std::pair<int, int>>();
            break;
        case 6:
            trial.frozen = trial.frozen.empty() ? std::set<int>{number} : std::set<int>();
            break;
        default:
            playTurns(trial, kinds == s_failuresAndReleases, random);
        }
    }
}

/// Plays many histories; returns those in which more was handed out than the budget and one turn's tokens.
auto brokenHistories(bool isLarge, unsigned seeds, unsigned kinds) -> std::string
{
    auto broken = std::string();
    auto granted = 0;
    for (auto seed = 1U; seed <= seeds; ++seed) {
        auto trial = Fleet();
        if (isLarge) {
            trial.beginLargeProgram();
            trial.isFirstTurn = true;
        }
        playHistory(trial, seed, isLarge ? 24 : 12, kinds);
        granted += trial.granted;
        if (trial.handedOut > trial.budget + s_turn) {
            broken += "seed " + std::to_string(seed) + ": " + std::to_string(trial.handedOut) + "\n";
        }
    }
    return broken.empty() ? broken : broken + std::to_string(granted) + " turns granted";
}

} // namespace

TEST(FleetBudget, theBoundHoldsInAnyOrderOfOutagesCutsAndRestarts)
{
    const auto broken = brokenHistories(false, 40, s_failures);
    CHECK_TEXT(broken.empty(), broken.c_str());
}

TEST(LargeBudget, theBoundHoldsInAnyOrderOfOutagesCutsAndRestarts)
{
    const auto broken = brokenHistories(true, 10, s_failures);
    CHECK_TEXT(broken.empty(), broken.c_str());
}

TEST(FleetBudget, theBoundHoldsWhileHostsGiveTokensBack)
{
    const auto broken = brokenHistories(false, 24, s_failuresAndReleases);
    CHECK_TEXT(broken.empty(), broken.c_str());
}

TEST(LargeBudget, theBoundHoldsWhileHostsGiveTokensBack)
{
    const auto broken = brokenHistories(true, 8, s_failuresAndReleases);
    CHECK_TEXT(broken.empty(), broken.c_str());
}
