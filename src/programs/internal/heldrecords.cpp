#include "programs/internal/heldrecords.h"

#include "programs/internal/programrow.h"

#include <algorithm>

namespace laburnummill::programs {

HeldRecords::HeldRecords(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{}

auto HeldRecords::hold(const std::string& program, std::uint32_t turn, std::string line, std::uint64_t fencing) -> bool
{
    if (fencing < m_fencing) {
        return false;
    }
    drop(program, turn);
    if (m_bytes + line.size() > m_maxBytes) {
        return false;
    }
    m_bytes += line.size();
    m_lines[{program, turn}] = std::move(line);
    return true;
}

auto HeldRecords::collect(const std::string& root, std::uint64_t fencing) -> std::vector<std::string>
{
    m_fencing = std::max(m_fencing, fencing);
    return recordsOfFamily(root);
}

auto HeldRecords::drop(const std::string& program, std::uint32_t turn) -> void
{
    if (const auto removed = m_lines.extract({program, turn}); !removed.empty()) {
        m_bytes -= removed.mapped().size();
    }
}

auto HeldRecords::dropUpTo(const std::string& program, std::uint32_t committed) -> void
{
    auto position = m_lines.lower_bound({program, 0});
    while (position != m_lines.end() && position->first.first == program && position->first.second <= committed) {
        m_bytes -= position->second.size();
        position = m_lines.erase(position);
    }
}

auto HeldRecords::recordsOfFamily(const std::string& root) const -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (auto position = m_lines.lower_bound({root, 0}); position != m_lines.end(); ++position) {
        const auto& program = position->first.first;
        if (!program.starts_with(root)) {
            break;
        }
        if (rootOf(program) == root) {
            lines.push_back(position->second);
        }
    }
    return lines;
}

auto HeldRecords::programs() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto& [key, line] : m_lines) {
        if (names.empty() || names.back() != key.first) {
            names.push_back(key.first);
        }
    }
    return names;
}

} // namespace laburnummill::programs
