#pragma once

#include <algorithm>
#include <cstdint>

namespace laburnummill::programs {

/// Counts the tokens of one program that one host may use.
class TokenHolding
{
public:
    auto spent() const -> std::uint64_t { return m_spent; }
    auto reserved() const -> std::uint64_t { return m_reserved; }
    auto free() const -> std::uint64_t { return m_granted - m_spent - m_reserved; }

    /// The value of the host's entry in the program's row: includes tokens transferred to other hosts, excludes tokens received
    /// from other hosts, which are in the entries of those hosts.
    auto totalGranted() const -> std::uint64_t { return static_cast<std::uint64_t>(std::max<std::int64_t>(balance(), 0)); }

    /// As totalGranted(); negative if this host has given back tokens that were granted to other hosts.
    auto balance() const -> std::int64_t { return m_balance; }

    auto grant(std::uint64_t tokens) -> void;

    /// Counts tokens as spent that the row shows as granted to this host but whose use is unknown.
    auto countAsSpent(std::uint64_t tokens) -> void;

    /// Counts tokens that the row shows as given back by this host before it lost its record of them.
    auto countAsReleased(std::uint64_t tokens) -> void { m_balance -= static_cast<std::int64_t>(tokens); }

    /// Returns false if fewer than `tokens` are free.
    auto reserve(std::uint64_t tokens) -> bool;

    /// Ends a reservation of `reserved` tokens of which `used` were generated.
    auto settle(std::uint64_t reserved, std::uint64_t used) -> void;

    /// Removes up to `tokens` free tokens, whichever host they were granted to, to give them back to the program's budget; returns how
    /// many.
    auto release(std::uint64_t tokens) -> std::uint64_t;

    /// Removes up to `tokens` free tokens for another host; returns how many.
    auto transferOut(std::uint64_t tokens) -> std::uint64_t;
    auto transferIn(std::uint64_t tokens) -> void;

private:
    std::uint64_t m_granted = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reserved = 0;
    std::int64_t m_balance = 0; ///< granted to this host, less those given back; transfers do not change it
};

} // namespace laburnummill::programs
