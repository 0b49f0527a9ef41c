#include "accounts/tokenbucket.h"

#include <CppUTest/TestHarness.h>

using laburnummill::accounts::TokenBucket;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(TokenBucket)
{
    Instant start{};
    TokenBucket bucket{2.0, 3.0, 3.0, start};
};

TEST(TokenBucket, grantsBurstAtOnceThenRate)
{
    for (auto taken = 0; taken < 3; ++taken) {
        CHECK_TRUE(bucket.take(start));
    }
    CHECK_FALSE(bucket.take(start));
    CHECK_FALSE(bucket.take(start + Milliseconds(499)));
    CHECK_TRUE(bucket.take(start + Milliseconds(500)));
}

TEST(TokenBucket, neverHoldsMoreThanBurst)
{
    DOUBLES_EQUAL(3.0, bucket.tokens(start + Milliseconds(60'000)), 1e-9);
    bucket.giveBack(start + Milliseconds(60'000));
    DOUBLES_EQUAL(3.0, bucket.tokens(start + Milliseconds(60'000)), 1e-9);
}

TEST(TokenBucket, smallerBurstDiscardsExcessTokens)
{
    bucket.change(1.0, 1.0, start);
    CHECK_TRUE(bucket.take(start));
    CHECK_FALSE(bucket.take(start));
}

TEST(TokenBucket, timeToNextIsTimeUntilNextToken)
{
    bucket.change(2.0, 1.0, start);
    CHECK_TRUE(bucket.take(start));
    LONGS_EQUAL(500'000, bucket.timeToNext(start).count());
    CHECK_TRUE(bucket.take(start + bucket.timeToNext(start)));
}
