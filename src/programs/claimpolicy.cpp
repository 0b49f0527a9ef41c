#include "programs/claimpolicy.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Milliseconds;

/// In quarters of a turn's most: a turn can still begin after some that used little.
constexpr auto s_sharedQuarterTurns = std::uint64_t{5};

/// A program whose turns pause for longer has usually ended.
constexpr auto s_idleTime = Milliseconds(2'500);

/// The next turn of a program often begins within this time and uses what the last one has left.
constexpr auto s_scarceIdleTime = Milliseconds(200);

auto difference(std::uint64_t tokens, std::uint64_t less) -> std::uint64_t
{
    return tokens - std::min(tokens, less);
}

} // namespace

auto ClaimPolicy::sharedTokens(std::uint64_t budget, std::uint64_t turnTokens) -> std::uint64_t
{
    return std::max(budget / 2, s_sharedQuarterTurns * turnTokens / 4);
}

auto ClaimPolicy::claimableAhead(const ClaimState& state, std::uint64_t needed) -> std::uint64_t
{
    return difference(difference(state.unclaimedTokens, needed), sharedTokens(state.budget, state.turnTokens));
}

auto ClaimPolicy::tokensToReleaseAtEnd(const ClaimState& state, std::uint64_t free) -> std::uint64_t
{
    return std::min(free, difference(sharedTokens(state.budget, state.turnTokens), state.unclaimedTokens));
}

auto ClaimPolicy::tokensToRelease(const ClaimState& state, std::uint64_t free, Milliseconds idle) -> std::uint64_t
{
    if (idle >= s_idleTime) {
        return free;
    }
    return idle >= s_scarceIdleTime ? tokensToReleaseAtEnd(state, free) : 0;
}

} // namespace laburnummill::programs
