#pragma once

#include "programs/turn.h"

#include <cstdint>

namespace laburnummill::programs {

/// How many hosts of the fleet are known to stand behind a conclusion.
struct FleetView
{
    std::uint64_t hosts = 1;       ///< that may be serving
    std::uint64_t unreachable = 0; ///< of these; hosts that have left in order are not among them
};

/// Bounds the tokens of a program that may be granted without the store, so that they can be told from what is left of its budget.
///
/// A budget may be exceeded by one turn's tokens. Each host supports the grants of one host only, and the grants to a program are the share
/// of one turn's tokens that its supporters are of all hosts: together they add up to one turn's. A program that starts while its
/// partition is away by itself, with a large budget and a history that the hosts keep, is granted more, up to a quarter of its budget, but
/// only by a host that more than half of all hosts support, and recorded in another partition before it is used. There is one such host
/// at most, and a group of fewer hosts, whichever these are, cannot have one. Hosts of the build before grant as much in an outage of the
/// whole store, unrecorded.
class OutageGrants
{
public:
    /// `budget` and `maxTokens`: of the program, and of one of its turns.
    OutageGrants(std::uint64_t budget, std::uint64_t maxTokens, TurnHistory history);

    /// The most that a host may grant with `supporters`, itself included, of `hosts`. `isWithinOneTurn`: not more than one turn's tokens,
    /// as the program did not start during the outage.
    auto limit(std::uint64_t supporters, std::uint64_t hosts, bool isWithinOneTurn) const -> std::uint64_t;

    /// Tokens beyond one turn's that unreachable hosts may have granted without the store.
    auto possiblyGranted(const FleetView& fleet) const -> std::uint64_t;

    /// Tokens beyond one turn's that a silent host may have granted that `supporters` of the hosts that answered support.
    auto possiblyGrantedBy(std::uint64_t supporters, const FleetView& fleet) const -> std::uint64_t;

private:
    auto largeGrant() const -> std::uint64_t;

    std::uint64_t m_budget;
    std::uint64_t m_maxTokens;
    TurnHistory m_history;
};

} // namespace laburnummill::programs
