#include "testing/soak/limits/limitfleet.h"

#include <CppUTest/TestHarness.h>

using laburnummill::testing::LimitBreakage;
using laburnummill::testing::LimitFleet;
using laburnummill::testing::LimitFleetOptions;

namespace {

constexpr auto s_steps = 60'000;
constexpr auto s_highRateSteps = 4'000;
constexpr auto s_stepsUntilReady = 300;
constexpr auto s_seeds = std::uint64_t{6};

/// Returns the number of steps until the invariant is violated; `steps` if it holds throughout.
auto stepsUntilViolation(std::uint64_t seed, LimitFleetOptions options, int steps) -> int
{
    auto fleet = LimitFleet(seed, options);
    for (auto step = 0; step < steps; ++step) {
        if (!fleet.step()) {
            return step;
        }
    }
    return steps;
}

auto violatingSeeds(LimitBreakage breakage, int steps = s_steps, double maxRatePerSecond = LimitFleetOptions().maxRatePerSecond) -> int
{
    auto options = LimitFleetOptions();
    options.maxRatePerSecond = maxRatePerSecond;
    options.breakage = breakage;
    auto violating = 0;
    for (auto seed = std::uint64_t{1}; seed <= s_seeds; ++seed) {
        violating += stepsUntilViolation(seed, options, steps) < steps ? 1 : 0;
    }
    return violating;
}

} // namespace

TEST_GROUP(LimitFleet){};

TEST(LimitFleet, neverExceedsRateAndBurstUnderFaults)
{
    LONGS_EQUAL(0, violatingSeeds(LimitBreakage::None));
}

TEST(LimitFleet, detectsGrantorThatLosesItsGrants)
{
    CHECK_TRUE(violatingSeeds(LimitBreakage::LenderForgets) > 0);
}

TEST(LimitFleet, detectsMissingDriftAllowance)
{
    // Grants overlap for only a few hundredths of a second. A bucket gains whole tokens in that time only at a high rate.
    constexpr auto highRate = 2'000.0;
    LONGS_EQUAL(0, violatingSeeds(LimitBreakage::None, s_highRateSteps, highRate));
    CHECK_TRUE(violatingSeeds(LimitBreakage::NoDriftAllowance, s_highRateSteps, highRate) > 0);
}

TEST(LimitFleet, detectsNewOwnerThatAssumesNoGrants)
{
    CHECK_TRUE(violatingSeeds(LimitBreakage::SuccessorKnows) > 0);
}

TEST(LimitFleet, rejectsNothingWithinRateWhileConnected)
{
    auto options = LimitFleetOptions();
    options.faultsPerSecond = 0;
    options.conforming = true;
    for (auto seed = std::uint64_t{1}; seed <= s_seeds; ++seed) {
        auto fleet = LimitFleet(seed, options);
        // In a new fleet, the first grants are made before hosts are ready to accept requests.
        for (auto step = 0; step < s_stepsUntilReady; ++step) {
            fleet.step();
        }
        fleet.resetCounts();
        for (auto step = 0; step < s_steps; ++step) {
            fleet.step();
        }
        CHECK_TRUE(fleet.counts().granted > 0);
        LONGS_EQUAL(0, fleet.counts().overLimit);
        LONGS_EQUAL(0, fleet.counts().refusedWithinRate);
    }
}
