#include "programs/internal/enginememory.h"

namespace laburnummill::programs {

auto programsToRelease(const std::vector<HeldProgram>& held, std::uint64_t wallMs, std::uint64_t expiryMs) -> std::vector<std::string>
{
    auto released = std::vector<std::string>();
    for (const auto& heldProgram : held) {
        const auto isReleasable =
            !heldProgram.row || !heldProgram.root || heldProgram.root->ended || isFinished(*heldProgram.row, wallMs, expiryMs);
        if (isReleasable) {
            released.push_back(heldProgram.program);
        }
    }
    return released;
}

} // namespace laburnummill::programs
