#include "scheduling/answerending.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::scheduling;

TEST_GROUP(AnswerEnding)
{
    AnswerEnding ending;
};

TEST(AnswerEnding, anAnswerIsWholeUnlessSomethingEndsIt)
{
    CHECK_TRUE(ending.reason() == EndReason::Whole);
}

TEST(AnswerEnding, aConnectionToAServerThatThisHostClosesIsNotTheServersDoing)
{
    ending.note(EndReason::TokensUsedUp);
    ending.note(EndReason::ServerBrokeOff);
    CHECK_TRUE(ending.reason() == EndReason::TokensUsedUp);
}

TEST(AnswerEnding, ofSeveralAttemptsTheLastCounts)
{
    ending.note(EndReason::ServerBrokeOff);
    ending.note(EndReason::DeadlineReached);
    CHECK_TRUE(ending.reason() == EndReason::DeadlineReached);
}
