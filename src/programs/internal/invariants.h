#pragma once

#include "framework/global/json.h"
#include "framework/global/nametable.h"

#include <array>
#include <cstdint>

namespace laburnummill::programs {

/// Invariants of programs, checked at every step. An action that would violate one is refused and counted.
enum class Invariant
{
    TurnOrder,       ///< a call is dispatched only as its program's next turn, one at a time
    ChainComplete,   ///< a loaded history has every turn, and each follows its predecessor
    ChainIsolated,   ///< a record is added only to the chain of its own program
    BudgetRespected, ///< turns and tokens of a root and its sub-agents, including reserved ones, stay within the limits
    CommitUnderLease ///< nothing is committed without a lease
};

constexpr auto s_invariantNames = framework::NameTable<Invariant, 5>{{
    {Invariant::TurnOrder, "turn_order"},
    {Invariant::ChainComplete, "chain_whole"},
    {Invariant::ChainIsolated, "chain_unmixed"},
    {Invariant::BudgetRespected, "budget_held"},
    {Invariant::CommitUnderLease, "commit_under_lease"},
}};

/// Checks invariants and counts violations, also in release builds.
class Invariants
{
public:
    /// Returns `holds`; counts a violation if it is false.
    auto check(Invariant invariant, bool holds) -> bool
    {
        if (!holds) {
            ++m_violations[static_cast<std::size_t>(invariant)];
        }
        return holds;
    }

    auto violations(Invariant invariant) const -> std::uint64_t { return m_violations[static_cast<std::size_t>(invariant)]; }

    auto toJson() const -> framework::Json
    {
        auto counts = framework::Json::object();
        for (const auto& [invariant, name] : s_invariantNames) {
            counts[std::string(name)] = violations(invariant);
        }
        return counts;
    }

private:
    std::array<std::uint64_t, s_invariantNames.size()> m_violations{};
};

} // namespace laburnummill::programs
