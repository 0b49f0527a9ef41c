#include "programs/internal/heldrecords.h"
#include "programs/internal/turnrecord.h"
#include "programs/programerrors.h"

#include <CppUTest/TestHarness.h>

using laburnummill::programs::chainFrom;
using laburnummill::programs::continuationOf;
using laburnummill::programs::digestOf;
using laburnummill::programs::firstDigest;
using laburnummill::programs::HeldRecords;
using laburnummill::programs::toLine;
using laburnummill::programs::TurnRecord;

TEST_GROUP(TurnChain)
{
    std::vector<std::string> lines;
    std::string head;

    auto appendTurns(const std::string& program, std::uint32_t turns)->void
    {
        head = firstDigest(program);
        for (auto turn = std::uint32_t{1}; turn <= turns; ++turn) {
            auto record = TurnRecord();
            record.program = program;
            record.turn = turn;
            record.parent = head;
            lines.push_back(toLine(record));
            head = digestOf(lines.back());
        }
    }
};

TEST(TurnChain, isBuiltFromLinesOfSeveralPrograms)
{
    appendTurns("dc.b", 4);
    appendTurns("dc.a", 3);
    LONGS_EQUAL(3, chainFrom("dc.a", lines, 3, head).value().size());
}

TEST(TurnChain, isRefusedIfIncomplete)
{
    appendTurns("dc.a", 3);
    const auto complete = lines;

    // A chain with any one line missing, including the last, is refused.
    for (auto missing = std::size_t{0}; missing < complete.size(); ++missing) {
        auto incomplete = complete;
        incomplete.erase(incomplete.begin() + static_cast<std::ptrdiff_t>(missing));
        CHECK_TRUE(chainFrom("dc.a", incomplete, 3, head).has_error());
    }

    // So is a chain that does not end in the given head.
    CHECK_TRUE(chainFrom("dc.a", complete, 2, head).has_error());
}

TEST(TurnChain, refusesRecordsOfOtherPrograms)
{
    appendTurns("dc.b", 2);
    auto foreign = lines.back();
    lines.clear();
    appendTurns("dc.a", 1);
    foreign.replace(foreign.find("dc.b"), 4, "dc.a");
    lines.push_back(foreign);
    CHECK_TRUE(chainFrom("dc.a", lines, 2, digestOf(foreign)).has_error());
    LONGS_EQUAL(0, continuationOf("dc.a", lines, 1, head).size());
}

TEST(TurnChain, isContinuedByHeldRecords)
{
    appendTurns("dc.a", 4);
    const auto committed = chainFrom("dc.a", lines, 4, head).value();
    LONGS_EQUAL(2, continuationOf("dc.a", lines, 2, committed[1].digest).size());
}

TEST_GROUP(HeldRecords)
{
    HeldRecords held{10};
};

TEST(HeldRecords, areLimitedInBytes)
{
    CHECK_TRUE(held.hold("dc.a", 1, "123456", 1));
    CHECK_FALSE(held.hold("dc.a", 2, "123456", 1));
    held.drop("dc.a", 1);
    CHECK_TRUE(held.hold("dc.a", 2, "123456", 1));
}

TEST(HeldRecords, areRefusedFromAnOlderOwnerAfterANewerOneCollectedThem)
{
    CHECK_TRUE(held.hold("dc.a", 1, "1", 4));
    LONGS_EQUAL(1, held.collect("dc.a", 5).size());
    CHECK_FALSE(held.hold("dc.a", 2, "2", 4));
    CHECK_TRUE(held.hold("dc.a", 2, "2", 5));
}
