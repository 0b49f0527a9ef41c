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
    const auto taken = m_spent + m_reserved;
    grant(taken - std::min(taken, m_granted)); // An engine may generate more than requested.
}

auto TokenHolding::grant(std::uint64_t tokens) -> void
{
    m_granted += tokens;
    m_balance += static_cast<std::int64_t>(tokens);
}

auto TokenHolding::release(std::uint64_t tokens) -> std::uint64_t
{
    const auto released = std::min(tokens, free());
    m_granted -= released;
    m_balance -= static_cast<std::int64_t>(released);
    return released;
}

auto TokenHolding::countAsSpent(std::uint64_t tokens) -> void
{
    grant(tokens);
    m_spent += tokens;
}

auto TokenHolding::transferOut(std::uint64_t tokens) -> std::uint64_t
{
    const auto transferred = std::min(tokens, free());
    m_granted -= transferred;
    return transferred;
}

auto TokenHolding::transferIn(std::uint64_t tokens) -> void
{
    m_granted += tokens;
}

} // namespace laburnummill::programs
