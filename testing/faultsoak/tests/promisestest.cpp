#include "faultsoak/promises.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace laburnummill::testing;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_now = Instant(std::chrono::seconds(100));

auto turn(const std::string& id, const std::string& previous = {}) -> Attempt
{
    return {.id = id, .account = "large", .program = "p", .previousTurn = previous, .input = "in " + id, .budget = 20, .most = 10};
}

auto call(const std::string& id, bool mayRepeat) -> Attempt
{
    return {.id = id, .account = "large", .input = "order", .mayRepeat = mayRepeat};
}

auto wholeTurn(const std::string& id) -> Got
{
    return {.status = 200, .body = "id: 1\ndata: " + id + " says 1\n\n", .retryAfter = {}, .isWhole = true};
}

} // namespace

TEST_GROUP(Promises)
{
    Promises promises{{{"small", {.perSecond = 2, .burst = 2}}}};

    auto isBroken(Promise promise) const->bool
    {
        return std::ranges::any_of(promises.violations(), [promise](const auto& found) { return found.promise == promise; });
    }

    auto runTurn(const Attempt& attempt, const std::string& body)->void
    {
        promises.sent(attempt);
        promises.ran(attempt.id, attempt.account, body, false, s_now);
        promises.ended(attempt.id, wholeTurn(attempt.id), s_now);
    }
};

TEST(Promises, aProgramThatIsServedAsItShouldBreaksNone)
{
    runTurn(turn("a"), "in a");
    runTurn(turn("b", "a"), "in aa says 1\nin b");
    promises.sent(call("c", true));
    promises.ran("c", "large", "order", false, s_now);
    promises.ran("c", "large", "order", false, s_now);
    promises.ended("c", {.status = 200, .body = "answer to c", .retryAfter = {}, .isWhole = true}, s_now);
    CHECK_TRUE(promises.violations().empty());
    CHECK_EQUAL(3U, promises.answered());
}

TEST(Promises, whatMayNotRepeatRunsOnce)
{
    promises.sent(call("c", false));
    promises.ran("c", "large", "order", false, s_now);
    CHECK_FALSE(isBroken(Promise::RunsOnce));
    promises.ran("c", "large", "order", false, s_now);
    CHECK_TRUE(isBroken(Promise::RunsOnce));
}

TEST(Promises, aRefusalIsTrueBeforeAndAfterIt)
{
    promises.sent(call("c", false));
    promises.ended("c", {.status = 503, .body = {}, .retryAfter = "1", .isWhole = true}, s_now);
    CHECK_FALSE(isBroken(Promise::TrueRefusal));
    promises.ran("c", "large", "order", false, s_now);
    CHECK_TRUE(isBroken(Promise::TrueRefusal));
}

TEST(Promises, aRefusalOfWhatHadRunIsFalse)
{
    promises.sent(call("c", false));
    promises.ran("c", "large", "order", false, s_now);
    promises.ended("c", {.status = 429, .body = {}, .retryAfter = "1", .isWhole = true}, s_now);
    CHECK_TRUE(isBroken(Promise::TrueRefusal));
}

TEST(Promises, aSuccessIsTheWholeAnswerToThisRequest)
{
    promises.sent(call("c", true));
    promises.ended("c", {.status = 200, .body = "answer to d", .retryAfter = {}, .isWhole = true}, s_now);
    CHECK_TRUE(isBroken(Promise::WholeAnswer));
}

TEST(Promises, anAnswerThatBreaksOffIsItsBeginning)
{
    promises.sent(turn("a"));
    promises.ended("a", {.status = 200, .body = "id: 1\nda", .retryAfter = {}, .isWhole = false}, s_now);
    CHECK_FALSE(isBroken(Promise::WholeAnswer));
    promises.ended("a", {.status = 200, .body = "id: 2", .retryAfter = {}, .isWhole = false}, s_now);
    CHECK_TRUE(isBroken(Promise::WholeAnswer));
}

TEST(Promises, aTurnGoesOnFromTheWholeHistory)
{
    runTurn(turn("a"), "in a");
    promises.sent(turn("b", "a"));
    promises.ran("b", "large", "in b", false, s_now);
    CHECK_TRUE(isBroken(Promise::History));
}

TEST(Promises, aBudgetAndOneTurnIsTheMost)
{
    runTurn(turn("a"), "in a");
    runTurn(turn("b"), "in b");
    runTurn(turn("c"), "in c");
    CHECK_FALSE(isBroken(Promise::Budget));
    runTurn(turn("d"), "in d");
    CHECK_TRUE(isBroken(Promise::Budget));
}

TEST(Promises, aTurnThatWasAnsweredLatelyIsNotDenied)
{
    runTurn(turn("a"), "in a");
    promises.sent(turn("b", "never"));
    promises.ended("b", {.status = 404, .body = {}, .retryAfter = {}, .isWhole = true}, s_now);
    promises.sent(turn("c", "a"));
    promises.ended("c", {.status = 404, .body = {}, .retryAfter = {}, .isWhole = true}, s_now + std::chrono::seconds(61));
    CHECK_FALSE(isBroken(Promise::KnownTurn));
    promises.ended("c", {.status = 404, .body = {}, .retryAfter = {}, .isWhole = true}, s_now + std::chrono::seconds(59));
    CHECK_TRUE(isBroken(Promise::KnownTurn));
}

TEST(Promises, aRateHoldsInAnyWindow)
{
    // 2 a second and a burst of 2: at most (10 + 2) x 1.1 + 20 in five seconds.
    const auto runMany = [this](int first, int count, Instant at) {
        for (auto number = first; number < first + count; ++number) {
            auto attempt = call("c" + std::to_string(number), true);
            attempt.account = "small";
            promises.sent(attempt);
            promises.ran(attempt.id, "small", "order", false, at);
        }
    };
    runMany(0, 33, s_now);
    runMany(33, 33, s_now + Milliseconds(5'001));
    CHECK_FALSE(isBroken(Promise::Rate));
    runMany(66, 1, s_now + Milliseconds(9'000));
    CHECK_TRUE(isBroken(Promise::Rate));
}

TEST(Promises, aRequestRunsAsItsAccountAndItsKeyStaysHere)
{
    promises.sent(call("c", true));
    promises.ran("c", "large", "order", false, s_now);
    CHECK_FALSE(isBroken(Promise::OwnAccount));
    promises.ran("c", "large", "order", true, s_now);
    CHECK_TRUE(isBroken(Promise::OwnAccount));
}

TEST(Promises, nothingRunsThatWasNotSent)
{
    promises.ran("unknown", "large", "order", false, s_now);
    CHECK_TRUE(isBroken(Promise::NothingUnsent));
}

TEST(Promises, aStopThatCutsOffWhatABackendServerBeganIsNoticed)
{
    promises.stops().stopBegan(3, s_now);
    promises.sent(call("c", true));
    promises.reached("c", 3, s_now);
    promises.ended("c", {.status = 0, .body = {}, .retryAfter = {}, .isWhole = false}, s_now + Milliseconds(100));
    CHECK_FALSE(isBroken(Promise::GracefulStop));
    promises.sent(call("d", true));
    promises.reached("d", 3, s_now);
    promises.ran("d", "large", "order", false, s_now);
    promises.ended("d", {.status = 0, .body = {}, .retryAfter = {}, .isWhole = false}, s_now + Milliseconds(100));
    CHECK_TRUE(isBroken(Promise::GracefulStop));
}
