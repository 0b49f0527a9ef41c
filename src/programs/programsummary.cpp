#include "programs/programsummary.h"

#include "framework/global/digest.h"

namespace laburnummill::programs {

namespace {

constexpr auto s_summaryBits = std::uint64_t{64};

auto bitOf(const ProgramKey& program) -> std::uint64_t
{
    return std::uint64_t{1} << (framework::hash64(program.account, framework::hash64(program.program)) % s_summaryBits);
}

} // namespace

auto ProgramSummary::add(const ProgramKey& program) -> void
{
    m_bits |= bitOf(program);
}

auto ProgramSummary::of(const ProgramKey& program) -> ProgramSummary
{
    auto summary = ProgramSummary();
    summary.add(program);
    return summary;
}

} // namespace laburnummill::programs
