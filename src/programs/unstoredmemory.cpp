#include "programs/unstoredmemory.h"

namespace laburnummill::programs {

namespace {

/// Copies may exceed the limit by this fraction.
constexpr auto s_copyAllowance = std::size_t{4};

/// Rows in calls under way at the same time, as a fraction of the limit.
constexpr auto s_writingFraction = std::size_t{16};

} // namespace

UnstoredMemory::UnstoredMemory(std::size_t limit)
    : m_limit(limit)
{}

auto UnstoredMemory::mayTakeCopy(std::size_t bytes) const -> bool
{
    return held() + bytes <= m_limit + m_limit / s_copyAllowance;
}

auto UnstoredMemory::mayWrite(std::size_t bytes) const -> bool
{
    return m_writing == 0 || m_writing + bytes <= m_limit / s_writingFraction;
}

} // namespace laburnummill::programs
