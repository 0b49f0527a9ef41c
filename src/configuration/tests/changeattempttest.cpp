#include "configuration/internal/changeattempt.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::configuration;

TEST_GROUP(ChangeAttempt)
{
    ChangeAttempt attempt{4, "ours"};

    auto check(ChangeStep expected, ChangeStep step)->void
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(step));
    }
};

TEST(ChangeAttempt, writesUnderTheRowVersionThatWasRead)
{
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
    LONGS_EQUAL(17, attempt.expectedRowVersion().value());
    check(ChangeStep::Accepted, attempt.handleWrite(WriteOutcome::Written));
    LONGS_EQUAL(5, attempt.version());
}

TEST(ChangeAttempt, resolvesALostReplyByTheSuccessorsChangeId)
{
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
    check(ChangeStep::Read, attempt.handleWrite(WriteOutcome::Unknown));
    check(ChangeStep::Accepted, attempt.handleRead({5, 18, "ours"}));
}

TEST(ChangeAttempt, reportsAConflictIfAnotherChangeWonAfterALostReply)
{
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
    check(ChangeStep::Read, attempt.handleWrite(WriteOutcome::Unknown));
    check(ChangeStep::Conflict, attempt.handleRead({5, 18, "theirs"}));
}

TEST(ChangeAttempt, acceptsAChangeThatLaterChangesHaveReplaced)
{
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
    check(ChangeStep::Read, attempt.handleWrite(WriteOutcome::Unknown));
    check(ChangeStep::Accepted, attempt.handleRead({9, 25, "ours"}));
}

TEST(ChangeAttempt, reportsUnknownWhileAWriteMayStillTakeEffect)
{
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
    check(ChangeStep::Read, attempt.handleWrite(WriteOutcome::Unknown));
    auto step = attempt.handleReadFailure();
    while (step == ChangeStep::Read) {
        step = attempt.handleReadFailure();
    }
    check(ChangeStep::Unknown, step);
}

TEST(ChangeAttempt, rereadsStaleDataBeforeWriting)
{
    check(ChangeStep::Read, attempt.handleRead({3, 11, {}}));
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
}

TEST(ChangeAttempt, reportsAConflictIfTheExpectedVersionNeverAppears)
{
    auto step = attempt.handleRead({3, 11, {}});
    while (step == ChangeStep::Read) {
        step = attempt.handleRead({3, 11, {}});
    }
    check(ChangeStep::Conflict, step);
}

TEST(ChangeAttempt, reportsRefusedWhileThePlatformIsDown)
{
    check(ChangeStep::Read, attempt.handleReadFailure());
    auto step = attempt.handleReadFailure();
    while (step == ChangeStep::Read) {
        step = attempt.handleReadFailure();
    }
    check(ChangeStep::Refused, step);
}

TEST(ChangeAttempt, retriesAFailedRead)
{
    check(ChangeStep::Read, attempt.handleReadFailure());
    check(ChangeStep::Write, attempt.handleRead({4, 17, {}}));
}
