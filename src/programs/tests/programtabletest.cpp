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

TEST(TokenHolding, freesUnusedReservedTokens)
{
    holding.grant(300);
    CHECK_TRUE(holding.reserve(290));
    CHECK_FALSE(holding.reserve(20));
    holding.settle(290, 70);
    CHECK_EQUAL(230U, holding.free());
    CHECK_EQUAL(70U, holding.spent());
}

TEST(TokenHolding, countsTransferredTokensInTheEntryOfTheirOrigin)
{
    auto other = TokenHolding();
    holding.grant(300);
    other.transferIn(holding.transferOut(200));
    CHECK_EQUAL(100U, holding.free());
    CHECK_EQUAL(200U, other.free());
    CHECK_EQUAL(300U, holding.totalGranted() + other.totalGranted());

    // Part of the tokens is returned.
    other.reserve(200);
    other.settle(200, 50);
    holding.transferIn(other.transferOut(150));
    CHECK_EQUAL(250U, holding.free());
    CHECK_EQUAL(300U, holding.totalGranted() + other.totalGranted());
}

TEST(TokenHolding, countsTokensGeneratedBeyondTheReservation)
{
    holding.grant(10);
    holding.reserve(10);
    holding.settle(10, 14);
    CHECK_EQUAL(0U, holding.free());
    CHECK_EQUAL(14U, holding.totalGranted());
}

TEST_GROUP(ProgramTable)
{
    boost::asio::io_context context;
    ManualClock clock;
    ProgramTable firstTable{context.get_executor(), clock, "here", 1};
    ProgramTable secondTable{context.get_executor(), clock, "there", 2};
    ProgramKey key{.account = "pub", .program = "p"};

    auto programOf(ProgramTable & table)->ProgramPtr
    {
        auto program = table.program(key);
        program->budget = 1'000;
        return program;
    }

    /// The row in the store after `change` was applied.
    static auto rowOf(const RowChange& change, std::uint64_t version)->store::Row
    {
        return {.address = change.put.address, .value = change.put.value, .version = version};
    }
};

TEST(ProgramTable, concurrentWritesOfTwoHostsStayWithinTheBudget)
{
    const auto first = programOf(firstTable);
    const auto second = programOf(secondTable);
    auto change = firstTable.prepareChange(key, *first, 600);
    const auto row = rowOf(change, 7);
    firstTable.onApplied(*first, std::move(change), 7);
    CHECK_EQUAL(400U, firstTable.unclaimedTokens(*first));

    // The other host expects no row; after the conflict it adopts this one.
    CHECK_EQUAL(store::s_absentRow, secondTable.prepareChange(key, *second, 600).condition.version);
    secondTable.adoptRow(*second, &row);
    CHECK_EQUAL(400U, secondTable.unclaimedTokens(*second));
    CHECK_EQUAL(0U, second->holding.free());
    CHECK_TRUE(secondTable.hasOtherHolders(*second));
}

TEST(ProgramTable, aWriteOfUnknownOutcomeIsRecognisedInTheRow)
{
    const auto program = programOf(firstTable);
    const auto change = firstTable.prepareChange(key, *program, 600);
    firstTable.onOutcomeUnknown(*program, change);
    CHECK_EQUAL(400U, firstTable.unclaimedTokens(*program)); // The write may have been applied.

    const auto row = rowOf(change, 7);
    firstTable.adoptRow(*program, &row);
    CHECK_EQUAL(600U, program->holding.free());
    CHECK_EQUAL(400U, firstTable.unclaimedTokens(*program));
}

/// Guards against 402 to programs of which no turn has run, after a write was repeated on another way to the store.
TEST(ProgramTable, aWriteThatWasAppliedBeforeItsRepetitionConflictedIsRecognisedInTheRow)
{
    const auto program = programOf(firstTable);
    const auto change = firstTable.prepareChange(key, *program, 280);
    const auto row = rowOf(change, 7);
    firstTable.adoptRow(*program, &row);
    CHECK_EQUAL(280U, program->holding.free());
    CHECK_EQUAL(0U, program->holding.spent());
}

TEST(ProgramTable, aWriteThatWasNotAppliedTakesNoTokens)
{
    const auto program = programOf(firstTable);
    firstTable.onOutcomeUnknown(*program, firstTable.prepareChange(key, *program, 600));
    firstTable.adoptRow(*program, nullptr);
    CHECK_EQUAL(1'000U, firstTable.unclaimedTokens(*program));
    CHECK_EQUAL(0U, program->holding.free());
}

TEST(ProgramTable, tokensOfAnEvictedProgramCountAsSpent)
{
    const auto program = programOf(firstTable);
    auto change = firstTable.prepareChange(key, *program, 600);
    const auto row = rowOf(change, 7);
    firstTable.onApplied(*program, std::move(change), 7);

    auto reloadedTable = ProgramTable(context.get_executor(), clock, "here", 1);
    const auto reloaded = programOf(reloadedTable);
    reloadedTable.adoptRow(*reloaded, &row);
    CHECK_EQUAL(0U, reloaded->holding.free());
    auto more = reloadedTable.prepareChange(key, *reloaded, 300);
    reloadedTable.onApplied(*reloaded, std::move(more), 8);
    CHECK_EQUAL(300U, reloaded->holding.free());
    CHECK_EQUAL(100U, reloadedTable.unclaimedTokens(*reloaded));
}

TEST(ProgramTable, aRestartedHostGetsAnEntryOfItsOwn)
{
    const auto program = programOf(firstTable);
    auto change = firstTable.prepareChange(key, *program, 600);
    const auto row = rowOf(change, 7);
    auto restarted = ProgramTable(context.get_executor(), clock, "here", 9);
    const auto after = programOf(restarted);
    restarted.adoptRow(*after, &row);
    CHECK_EQUAL(400U, restarted.unclaimedTokens(*after));
}

TEST(ProgramTable, tokensGrantedDuringAWriteStayUnrecorded)
{
    const auto program = programOf(firstTable);
    auto change = firstTable.prepareChange(key, *program, 300);
    program->holding.grant(100); // Granted during the write.
    program->unrecordedTokens = 100;
    firstTable.onApplied(*program, std::move(change), 7);
    CHECK_EQUAL(100U, program->unrecordedTokens);
    CHECK_EQUAL(600U, firstTable.unclaimedTokens(*program));

    // The next write records it.
    auto next = firstTable.prepareChange(key, *program, 0);
    firstTable.onApplied(*program, std::move(next), 8);
    CHECK_EQUAL(0U, program->unrecordedTokens);
    CHECK_EQUAL(600U, firstTable.unclaimedTokens(*program));
}

TEST(ProgramTable, idleProgramsAreEvictedUnlessTheyHaveRunningTurns)
{
    const auto busy = firstTable.program({.account = "pub", .program = "busy"});
    busy->holding.grant(10);
    busy->holding.reserve(10);
    programOf(firstTable);
    clock.advance(Milliseconds(61'000));
    firstTable.removeExpired();
    CHECK_EQUAL(1U, firstTable.size());
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

TEST(Turn, isUnchangedByEncodingAndDecoding)
{
    const auto decoded = decodeTurn(encodeTurn(turn));
    CHECK_EQUAL(turn.id, decoded->id);
    CHECK_EQUAL(turn.input, decoded->input);
    CHECK_EQUAL(turn.output, decoded->output);
    CHECK_TRUE(turn.ancestors == decoded->ancestors);
    CHECK_EQUAL(turn.tokens, decoded->tokens);
}

TEST(Turn, invalidBytesDecodeToNull)
{
    CHECK_TRUE(decodeTurn("not a turn") == nullptr);
    CHECK_TRUE(decodeTurn("") == nullptr);
}

TEST(Turn, theCacheEvictsTheLeastRecentlyUsedTurnsAtItsByteLimit)
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
