#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnummill::programs {

/// Turn records that this host holds for program owners during a store outage, up to a limit in bytes.
class HeldRecords
{
public:
    explicit HeldRecords(std::size_t maxBytes);

    /// Returns false if the record does not fit, or if its owner is older than one that has collected records here.
    auto hold(const std::string& program, std::uint32_t turn, std::string line, std::uint64_t fencing) -> bool;

    /// Returns the records of a root and its sub-agents for an owner with fencing number `fencing`. Records of older owners are
    /// refused from then on.
    auto collect(const std::string& root, std::uint64_t fencing) -> std::vector<std::string>;

    /// Drops a committed record.
    auto drop(const std::string& program, std::uint32_t turn) -> void;

    /// Drops the records of a program up to and including turn `committed`.
    auto dropUpTo(const std::string& program, std::uint32_t committed) -> void;

    /// The records of a root and its sub-agents, ordered by program and turn.
    auto recordsOfFamily(const std::string& root) const -> std::vector<std::string>;

    /// Ids of programs whose records are held.
    auto programs() const -> std::vector<std::string>;

    auto size() const -> std::size_t { return m_lines.size(); }
    auto bytes() const -> std::size_t { return m_bytes; }

private:
    using Key = std::pair<std::string, std::uint32_t>;

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_fencing = 0; ///< highest fencing number of an owner that collected records
    std::map<Key, std::string> m_lines;
};

} // namespace laburnummill::programs
