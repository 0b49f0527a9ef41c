#include "store/transactiongroup.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::store;

namespace {

auto rowOf(const std::string& key) -> RowAddress
{
    return {.table = "programs", .partition = "t1", .key = key};
}

auto claim(const std::string& key, std::uint64_t version) -> Transaction
{
    auto transaction = Transaction();
    transaction.conditions.push_back({.address = rowOf(key), .version = version});
    transaction.puts.push_back({.address = rowOf(key), .value = "claim"});
    return transaction;
}

} // namespace

TEST_GROUP(TransactionGroup)
{
    TransactionGroup group;
};

TEST(TransactionGroup, transactionsOfDifferentRowsAreWrittenAsOne)
{
    CHECK_TRUE(group.add(claim("p1", 3)));
    CHECK_TRUE(group.add(claim("p2", 4)));
    CHECK_FALSE(group.add(claim("p1", 3)));
    const auto all = group.merged();
    CHECK_EQUAL(2U, all.puts.size());
    CHECK_EQUAL(2U, all.conditions.size());
    const auto replies = group.split({.isApplied = true, .version = 9, .currentRows = {}});
    CHECK_TRUE(replies[0]->isApplied && replies[1]->isApplied);
}

TEST(TransactionGroup, itKeepsToTheLimitsOfACall)
{
    auto added = 0;
    while (added < 1'000 && group.add(claim("p" + std::to_string(added), 0))) {
        ++added;
    }
    CHECK_EQUAL(50, added); // A condition and a row each, a hundred in all.
}

TEST(TransactionGroup, onlyTransactionsWhoseOwnConditionsFailAreToldSo)
{
    group.add(claim("p1", 3));
    group.add(claim("p2", 4));
    group.add(claim("new", s_absentRow));
    const auto replies = group.split({.isApplied = false,
                                      .version = 9,
                                      .currentRows = {{.address = rowOf("p1"), .value = "other", .version = 8},
                                                      {.address = rowOf("p2"), .value = "own", .version = 4}}});
    CHECK_FALSE(replies[0]->isApplied);
    CHECK_EQUAL(1U, replies[0]->currentRows.size());
    CHECK_EQUAL(8U, replies[0]->currentRows.front().version);
    CHECK_TRUE(!replies[1] && !replies[2]);
}
