#pragma once

#include "scheduling/internal/engineregistry.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::scheduling {

/// How many tokens of which program each engine's prefix cache probably holds: from own placements and from what engines
/// tell, which comes late and with gaps.
class CacheEstimates
{
public:
    struct Copy
    {
        EngineIndex engine = 0;
        std::uint64_t tokens = 0;
    };

    /// What `engine` holds of `program` becomes `tokens`; 0: nothing.
    auto set(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void;

    /// `engine` holds nothing any more.
    auto clear(EngineIndex engine) -> void;

    /// Engines that hold something of `program`.
    auto copies(const std::string& program) const -> const std::vector<Copy>&;

    /// Tokens that `engine` holds altogether.
    auto heldBy(EngineIndex engine) const -> std::uint64_t { return engine < m_held.size() ? m_held[engine] : 0; }

private:
    std::unordered_map<std::string, std::vector<Copy>> m_copies;
    std::vector<std::uint64_t> m_held;
};

} // namespace laburnummill::scheduling
