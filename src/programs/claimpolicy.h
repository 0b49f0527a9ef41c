#pragma once

#include "framework/global/iclock.h"
#include "programs/programtable.h"

#include <cstdint>

namespace laburnummill::programs {

/// What a host knows of a program's budget when it claims or gives back tokens.
struct ClaimState
{
    std::uint64_t budget = 0;
    std::uint64_t unclaimedTokens = 0; ///< of the budget, by the program's row
    std::uint64_t turnTokens = 0;      ///< the most that one turn may generate
};

/// Decides how many tokens hosts claim ahead of their use, and which they give back. Does no I/O.
///
/// What a host has claimed is lost to its program if the host ends without notice, since no row tells how much of it was used. Tokens
/// claimed ahead save a write for each turn and carry the program through an outage of the store. So hosts together claim ahead from
/// a part of the budget only: half of it, and more than one turn, stay unclaimed but for the turns that run.
class ClaimPolicy
{
public:
    /// Tokens of the budget that may not be claimed ahead.
    static auto sharedTokens(std::uint64_t budget, std::uint64_t turnTokens) -> std::uint64_t;

    /// The most that may be claimed ahead of use, besides `needed` tokens for turns that wait.
    static auto claimableAhead(const ClaimState& state, std::uint64_t needed) -> std::uint64_t;

    /// How many of `free` tokens, which no turn uses, a host gives back. `idle`: since a turn of the program last used tokens here.
    static auto tokensToRelease(const ClaimState& state, std::uint64_t free, framework::Milliseconds idle) -> std::uint64_t;

    /// How many of `free` tokens do not remain with a host at the end of a turn.
    static auto tokensToReleaseAtEnd(const ClaimState& state, std::uint64_t free) -> std::uint64_t;
};

} // namespace laburnummill::programs
