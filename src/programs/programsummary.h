#pragma once

#include "programs/turn.h"

#include <cstdint>

namespace laburnummill::programs {

/// A set of programs in 64 bits, one for each value of a hash. May contain programs that were not added, but lacks none that was.
///
/// Hosts report in it the programs whose budgets others cannot know from their rows alone, so that a claim of tokens asks only hosts that
/// may have something to tell of its program, however many hosts there are.
class ProgramSummary
{
public:
    static auto of(const ProgramKey& program) -> ProgramSummary;

    auto add(const ProgramKey& program) -> void;
    auto bits() const -> std::uint64_t { return m_bits; }

private:
    std::uint64_t m_bits = 0;
};

} // namespace laburnummill::programs
