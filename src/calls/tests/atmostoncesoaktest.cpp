#include "testing/soak/calls/callworld.h"

#include <CppUTest/TestHarness.h>

using laburnummill::testing::CallWorld;
using laburnummill::testing::Violation;
using laburnummill::testing::WorldPolicy;

namespace {

constexpr auto s_seedCount = std::uint64_t{8};
constexpr auto s_steps = std::uint64_t{100'000};

/// Returns the first violation found with any of the fixed seeds, or nullopt if there is none.
auto firstViolation(const WorldPolicy& policy) -> std::optional<Violation>
{
    for (auto seed = std::uint64_t{1}; seed <= s_seedCount; ++seed) {
        if (const auto violation = CallWorld(seed, policy).run(s_steps)) {
            return violation;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_GROUP(AtMostOnceSoak)
{
    WorldPolicy policy;
};

TEST(AtMostOnceSoak, hasNoViolationWithAllMechanismsEnabled)
{
    CHECK_FALSE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, reachesAllExpectedFaultsAndOutcomes)
{
    auto world = CallWorld(1);
    CHECK_FALSE(world.run(s_steps).has_value());
    for (const auto* name : {"abandoned", "asked", "backend_unknown", "deaths", "failed_outcome_unknown", "failed_record_unavailable",
                             "joined", "lost_store_answers", "outages", "pauses", "repeats", "settled_ran", "settled_released"}) {
        CHECK_TRUE_TEXT(world.counts().contains(name), name);
    }
}

TEST(AtMostOnceSoak, sameSeedReproducesTheRun)
{
    auto first = CallWorld(5);
    auto second = CallWorld(5);
    first.run(s_steps);
    second.run(s_steps);
    CHECK_TRUE(first.counts() == second.counts());
    CHECK_TRUE(first.lastEvents() == second.lastEvents());
}

TEST(AtMostOnceSoak, findsViolationWithoutRecordingBeforeSending)
{
    policy.once.recordsBeforeSending = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationWithoutReadingBackUnknownWrites)
{
    policy.once.readsBack = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationWithoutQueryingTheExecutor)
{
    policy.once.queriesExecutor = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationIfATerminatedExecutorsCallRunsAgain)
{
    policy.once.refusesRerunAfterTermination = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationIfUnrecordedOutcomesAreDropped)
{
    policy.once.retainsUnrecordedOutcome = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationIfFailuresDenyAPossibleRun)
{
    policy.once.reportsPossibleRun = false;
    CHECK_TRUE(firstViolation(policy) == Violation::RefusalUntrue);
}

TEST(AtMostOnceSoak, findsViolationWithoutDeadlineCheckBeforeSending)
{
    policy.once.checksDeadline = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}

TEST(AtMostOnceSoak, findsViolationIfARepeatDoesNotJoinTheLiveAttempt)
{
    policy.joinsLive = false;
    CHECK_TRUE(firstViolation(policy).has_value());
}
