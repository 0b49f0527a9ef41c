#include "testing/soak/programs/programsoak.h"

#include <CppUTest/TestHarness.h>

using laburnummill::programs::OwnerPolicy;
using laburnummill::testing::ProgramSoak;

namespace {

constexpr auto s_steps = std::uint64_t{10'000};
constexpr auto s_seeds = std::uint64_t{12};

/// Runs fixed seeds and returns the first violation that starts with `expectedPrefix`; if there is none, the last violation of any
/// kind.
auto firstViolation(const OwnerPolicy& policy, const std::string& expectedPrefix = {}) -> std::string
{
    auto found = std::string();
    for (auto seed = std::uint64_t{1}; seed <= s_seeds; ++seed) {
        auto options = ProgramSoak::Options();
        options.seed = seed;
        options.steps = s_steps;
        options.policy = policy;
        const auto outcome = ProgramSoak(options).run();
        if (!outcome.violations.empty()) {
            found = outcome.violations.front();
        }
        if (!found.empty() && found.starts_with(expectedPrefix)) {
            return found;
        }
    }
    return found;
}

} // namespace

TEST_GROUP(ProgramOwnersUnderFaults)
{
    OwnerPolicy policy;

    auto expect(const std::string& violation)->void
    {
        const auto found = firstViolation(policy, violation);
        CHECK_TRUE_TEXT(found.starts_with(violation), found.c_str());
    }
};

TEST(ProgramOwnersUnderFaults, violateNoInvariant)
{
    STRCMP_EQUAL("", firstViolation(policy).c_str());
}

TEST(ProgramOwnersUnderFaults, violateTurnOrderWithoutItsCheck)
{
    policy.checkTurns = false;
    expect("invariant turn_order");
}

TEST(ProgramOwnersUnderFaults, refuseRepeatedCallsWithoutCheckingCallIds)
{
    policy.checkCallIds = false;
    expect("a refusal without ground, turn_passed");
}

TEST(ProgramOwnersUnderFaults, exceedTheBudgetWithoutReservations)
{
    policy.reserveBudget = false;
    expect("invariant budget_held");
}

TEST(ProgramOwnersUnderFaults, refuseCallsWithoutClaimingRows)
{
    policy.claimRows = false;
    expect("a refusal without ground");
}

TEST(ProgramOwnersUnderFaults, commitWithoutALeaseIfItIsNotChecked)
{
    policy.checkLease = false;
    expect("invariant commit_under_lease");
}

TEST(ProgramOwnersUnderFaults, leaveRecordsAtPeersWithoutReadingBack)
{
    policy.readBack = false;
    expect("records are still held at a peer");
}

TEST(ProgramOwnersUnderFaults, loseAnsweredTurnsWithoutHoldingAtPeers)
{
    policy.holdAtPeers = false;
    expect("an answered turn is lost");
}
