#pragma once

#include "scheduling/internal/engineregistry.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::scheduling {

/// Estimates how many tokens of each program each engine's prefix cache holds. Based on this dispatcher's placements and on
/// the engines' cache events, which arrive late and with gaps.
class CacheEstimates
{
public:
    struct Copy
    {
        EngineIndex engine = 0;
        std::uint64_t tokens = 0;
    };

    /// Sets the number of tokens of `program` in the cache of `engine`; 0 means that it caches none.
    auto set(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void;

    /// Clears the estimates of `engine`, whose cache is now empty.
    auto clear(EngineIndex engine) -> void;

    /// The engines that cache tokens of `program`.
    auto copies(const std::string& program) const -> const std::vector<Copy>&;

    /// Total number of tokens in the cache of `engine`.
    auto heldBy(EngineIndex engine) const -> std::uint64_t { return engine < m_held.size() ? m_held[engine] : 0; }

private:
    std::unordered_map<std::string, std::vector<Copy>> m_copies;
    std::vector<std::uint64_t> m_held;
};

} // namespace laburnummill::scheduling
