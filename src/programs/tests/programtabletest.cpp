#include "programs/programtable.h"
#include "framework/global/manualclock.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>

using namespace laburnummill::programs;
namespace store = laburnummill::store;
using laburnummill::framework::ManualClock;
using laburnummill::framework::Milliseconds;

TEST_GROUP(TokenHolding)
{
    TokenHolding holding;
};

TEST(TokenHolding, whatIsReservedAndNotUsedIsFreeAgain)
{
    holding.grant(300);
    CHECK_TRUE(holding.reserve(290));
    CHECK_FALSE(holding.reserve(20));
    holding.settle(290, 70);
    CHECK_EQUAL(230U, holding.free());
    CHECK_EQUAL(70U, holding.spent());
}

TEST(TokenHolding, whatIsGivenAwayStaysInTheGiversEntry)
{
    auto other = TokenHolding();
    holding.grant(300);
    other.receive(holding.give(200));
    CHECK_EQUAL(100U, holding.free());
    CHECK_EQUAL(200U, other.free());
    CHECK_EQUAL(300U, holding.recorded() + other.recorded());

    // A part comes back.
    other.reserve(200);
    other.settle(200, 50);
    holding.receive(other.give(150));
    CHECK_EQUAL(250U, holding.free());
    CHECK_EQUAL(300U, holding.recorded() + other.recorded());
}

TEST(TokenHolding, anEngineThatMakesMoreThanItWasAskedForIsCounted)
{
    holding.grant(10);
    holding.reserve(10);
    holding.settle(10, 14);
    CHECK_EQUAL(0U, holding.free());
    CHECK_EQUAL(14U, holding.recorded());
}

TEST_GROUP(ProgramTable)
{
    boost::asio::io_context context;
    ManualClock clock;
    ProgramTable here{context.get_executor(), clock, "here", 1};
    ProgramTable there{context.get_executor(), clock, "there", 2};
    ProgramKey key{.account = "pub", .program = "p"};

    auto known(ProgramTable & table)->ProgramPtr
    {
        auto program = table.program(key);
        program->budget = 1'000;
        return program;
    }

    /// The row as the store would hold it after `change`.
    static auto rowOf(const RowChange& change, std::uint64_t version)->store::Row
    {
        return {.address = change.put.address, .value = change.put.value, .version = version};
    }
};

TEST(ProgramTable, twoHostsThatWriteAtOnceNeverTakeMoreThanTheBudget)
{
    const auto first = known(here);
    const auto second = known(there);
    auto change = here.change(key, *first, 600);
    const auto row = rowOf(change, 7);
    here.applied(*first, std::move(change), 7);
    CHECK_EQUAL(400U, here.left(*first));

    // The other host expected no row, finds this one and goes on from it.
    CHECK_EQUAL(store::s_absentRow, there.change(key, *second, 600).condition.version);
    there.conflicted(*second, &row);
    CHECK_EQUAL(400U, there.left(*second));
    CHECK_EQUAL(0U, second->holding.free());
    CHECK_TRUE(there.isHeldElsewhere(*second));
}

TEST(ProgramTable, aWriteWhoseAnswerWasLostIsFoundInTheRow)
{
    const auto program = known(here);
    const auto change = here.change(key, *program, 600);
    here.doubtful(*program, change);
    CHECK_EQUAL(400U, here.left(*program)); // It may have taken effect.

    const auto row = rowOf(change, 7);
    here.conflicted(*program, &row);
    CHECK_EQUAL(600U, program->holding.free());
    CHECK_EQUAL(400U, here.left(*program));
}

TEST(ProgramTable, aWriteThatNeverTookEffectLeavesTheTokens)
{
    const auto program = known(here);
    here.doubtful(*program, here.change(key, *program, 600));
    here.conflicted(*program, nullptr);
    CHECK_EQUAL(1'000U, here.left(*program));
    CHECK_EQUAL(0U, program->holding.free());
}

TEST(ProgramTable, whatAHostForgotCountsAsSpent)
{
    const auto program = known(here);
    auto change = here.change(key, *program, 600);
    const auto row = rowOf(change, 7);
    here.applied(*program, std::move(change), 7);

    auto again = ProgramTable(context.get_executor(), clock, "here", 1);
    const auto forgotten = known(again);
    again.conflicted(*forgotten, &row);
    CHECK_EQUAL(0U, forgotten->holding.free());
    auto more = again.change(key, *forgotten, 300);
    again.applied(*forgotten, std::move(more), 8);
    CHECK_EQUAL(300U, forgotten->holding.free());
    CHECK_EQUAL(100U, again.left(*forgotten));
}

TEST(ProgramTable, aRestartedHostIsAnotherHolder)
{
    const auto program = known(here);
    auto change = here.change(key, *program, 600);
    const auto row = rowOf(change, 7);
    auto restarted = ProgramTable(context.get_executor(), clock, "here", 9);
    const auto after = known(restarted);
    restarted.conflicted(*after, &row);
    CHECK_EQUAL(400U, restarted.left(*after));
}

TEST(ProgramTable, whatIsLentWhileAWriteIsUnderWayIsNotTakenForRecorded)
{
    const auto program = known(here);
    auto change = here.change(key, *program, 300);
    program->holding.grant(100); // Lent meanwhile.
    program->lent = 100;
    here.applied(*program, std::move(change), 7);
    CHECK_EQUAL(100U, program->lent);
    CHECK_EQUAL(600U, here.left(*program));

    // The next write records it.
    auto next = here.change(key, *program, 0);
    here.applied(*program, std::move(next), 8);
    CHECK_EQUAL(0U, program->lent);
    CHECK_EQUAL(600U, here.left(*program));
}

TEST(ProgramTable, idleProgramsAreForgottenThoseWithTurnsUnderWayAreNot)
{
    const auto busy = here.program({.account = "pub", .program = "busy"});
    busy->holding.grant(10);
    busy->holding.reserve(10);
    known(here);
    clock.advance(Milliseconds(61'000));
    here.forget();
    CHECK_EQUAL(1U, here.size());
}

TEST_GROUP(Turn)
{
    Turn turn{.id = "t2",
              .account = "pub",
              .program = "p",
              .ancestors = {{.id = "t1", .partition = 3}},
              .input = std::string(1, '\0') + "put",
              .output = "a\nb\n",
              .tokens = 20,
              .backend = "engine"};
};

TEST(Turn, isReadBackAsItWasWritten)
{
    const auto back = decodeTurn(encodeTurn(turn));
    CHECK_EQUAL(turn.id, back->id);
    CHECK_EQUAL(turn.input, back->input);
    CHECK_EQUAL(turn.output, back->output);
    CHECK_TRUE(turn.ancestors == back->ancestors);
    CHECK_EQUAL(turn.tokens, back->tokens);
}

TEST(Turn, bytesThatAreNoTurnAreNone)
{
    CHECK_TRUE(decodeTurn("not a turn") == nullptr);
    CHECK_TRUE(decodeTurn("") == nullptr);
}

TEST(Turn, aCacheKeepsToItsBytesAndDropsWhatWasNotUsedForLongest)
{
    auto cache = TurnCache(5'000);
    for (auto index = 0; index < 10; ++index) {
        auto one = turn;
        one.id = "t" + std::to_string(index);
        one.input = std::string(1'000, 'x');
        cache.put(std::make_shared<Turn>(one));
        cache.find("t0");
    }
    CHECK_TRUE(cache.bytes() <= 5'000);
    CHECK_TRUE(cache.find("t0") != nullptr);
    CHECK_TRUE(cache.find("t1") == nullptr);
    CHECK_TRUE(cache.find("t9") != nullptr);
}
