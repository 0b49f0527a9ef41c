#pragma once

#include <cstdint>

namespace laburnummill::programs {

/// The tokens that one host may hand out for one program. Pure counting.
class TokenHolding
{
public:
    auto spent() const -> std::uint64_t { return m_spent; }
    auto reserved() const -> std::uint64_t { return m_reserved; }
    auto free() const -> std::uint64_t { return m_granted - m_spent - m_reserved; }

    /// What the host's entry in the program's row has to say: tokens given to others stay in it, those received are in theirs.
    auto recorded() const -> std::uint64_t { return m_granted + m_given - m_received; }

    auto grant(std::uint64_t tokens) -> void { m_granted += tokens; }

    /// Tokens that the row says were granted and of which nothing is known any more: they count as spent.
    auto writeOff(std::uint64_t tokens) -> void;

    auto reserve(std::uint64_t tokens) -> bool;

    /// Ends a reservation of `reserved` tokens of which `used` were handed out.
    auto settle(std::uint64_t reserved, std::uint64_t used) -> void;

    /// Gives free tokens to another host, at most `tokens`; returns how many.
    auto give(std::uint64_t tokens) -> std::uint64_t;
    auto receive(std::uint64_t tokens) -> void;

private:
    std::uint64_t m_granted = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reserved = 0;
    std::uint64_t m_given = 0;
    std::uint64_t m_received = 0;
};

} // namespace laburnummill::programs
