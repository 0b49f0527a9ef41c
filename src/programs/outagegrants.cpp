#include "programs/outagegrants.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

/// Budgets of more turns than this are large.
constexpr auto s_largeBudgetTurns = std::uint64_t{4};
constexpr auto s_largeGrantDivisor = std::uint64_t{4};

auto isMajority(std::uint64_t part, std::uint64_t hosts) -> bool
{
    return 2 * part > hosts;
}

} // namespace

OutageGrants::OutageGrants(std::uint64_t budget, std::uint64_t maxTokens, TurnHistory history)
    : m_budget(budget)
    , m_maxTokens(maxTokens)
    , m_history(history)
{}

auto OutageGrants::limit(std::uint64_t supporters, std::uint64_t hosts, bool isWithinOneTurn) const -> std::uint64_t
{
    const auto isLarge = !isWithinOneTurn && isMajority(supporters, hosts);
    const auto most = isLarge ? std::max(largeGrant(), m_maxTokens) : m_maxTokens;
    return most * std::min(supporters, hosts) / hosts; // The other hosts may support another grantor.
}

auto OutageGrants::possiblyGranted(const FleetView& fleet) const -> std::uint64_t
{
    return isMajority(fleet.unreachable, fleet.hosts) ? largeGrant() : 0;
}

auto OutageGrants::possiblyGrantedBy(std::uint64_t supporters, const FleetView& fleet) const -> std::uint64_t
{
    return supporters > 0 && isMajority(supporters + fleet.unreachable, fleet.hosts) ? largeGrant() : 0;
}

auto OutageGrants::largeGrant() const -> std::uint64_t
{
    // Grants to programs whose callers send the history are not recorded, and these programs go on after the loss of all hosts: they are
    // never granted more than one turn's tokens.
    const auto isLarge = m_history == TurnHistory::KeptByHosts && m_budget > s_largeBudgetTurns * m_maxTokens;
    return isLarge ? m_budget / s_largeGrantDivisor : 0;
}

} // namespace laburnummill::programs
