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
    m_granted = std::max(m_granted, m_spent + m_reserved); // An engine that makes more than it was asked for.
}

auto TokenHolding::writeOff(std::uint64_t tokens) -> void
{
    m_granted += tokens;
    m_spent += tokens;
}

auto TokenHolding::give(std::uint64_t tokens) -> std::uint64_t
{
    const auto given = std::min(tokens, free());
    m_granted -= given;
    m_given += given;
    return given;
}

auto TokenHolding::receive(std::uint64_t tokens) -> void
{
    m_granted += tokens;
    m_received += tokens;
}

} // namespace laburnummill::programs
