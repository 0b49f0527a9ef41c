#include "scheduling/internal/cacheestimates.h"

#include <algorithm>

namespace laburnummill::scheduling {

auto CacheEstimates::set(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void
{
    if (engine >= m_held.size()) {
        m_held.resize(engine + 1);
    }
    auto& copies = m_copies[program];
    const auto copy = std::ranges::find(copies, engine, &Copy::engine);
    const auto before = copy == copies.end() ? 0 : copy->tokens;
    m_held[engine] = m_held[engine] - before + tokens;
    if (tokens > 0 && copy == copies.end()) {
        copies.push_back({engine, tokens});
    } else if (tokens > 0) {
        copy->tokens = tokens;
    } else if (copy != copies.end()) {
        copies.erase(copy);
    }
    if (copies.empty()) {
        m_copies.erase(program);
    }
}

auto CacheEstimates::clear(EngineIndex engine) -> void
{
    for (auto entry = m_copies.begin(); entry != m_copies.end();) {
        std::erase_if(entry->second, [engine](const auto& copy) { return copy.engine == engine; });
        entry = entry->second.empty() ? m_copies.erase(entry) : std::next(entry);
    }
    if (engine < m_held.size()) {
        m_held[engine] = 0;
    }
}

auto CacheEstimates::copies(const std::string& program) const -> const std::vector<Copy>&
{
    static const auto none = std::vector<Copy>();
    const auto found = m_copies.find(program);
    return found == m_copies.end() ? none : found->second;
}

} // namespace laburnummill::scheduling
