#include "programs/tokenholding.h"

#include <algorithm>

namespace laburnummill::programs {

auto TokenHolding::reserve(std::uint64_t tokens) -> bool
{
    if (free() < tokens) {
        return false;
    }
    m_reserved += tokens;
    return true;
}

auto TokenHolding::settle(std::uint64_t reserved, std::uint64_t used) -> void
{
    m_reserved -= std::min(reserved, m_reserved);
    m_spent += used;
    m_granted = std::max(m_granted, m_spent + m_reserved); // An engine may generate more than requested.
}

auto TokenHolding::countAsSpent(std::uint64_t tokens) -> void
{
    m_granted += tokens;
    m_spent += tokens;
}

auto TokenHolding::transferOut(std::uint64_t tokens) -> std::uint64_t
{
    const auto transferred = std::min(tokens, free());
    m_granted -= transferred;
    m_transferredOut += transferred;
    return transferred;
}

auto TokenHolding::transferIn(std::uint64_t tokens) -> void
{
    m_granted += tokens;
    m_transferredIn += tokens;
}

} // namespace laburnummill::programs
