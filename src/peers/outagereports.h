#pragma once

#include <string>
#include <vector>

namespace laburnummill::peers {

/// What the heartbeats of other hosts tell of grants of tokens without the store to some programs.
struct OutageReports
{
    std::vector<std::string> grantors;  ///< addresses of reachable hosts that report such grants
    std::vector<std::string> witnesses; ///< addresses of reachable hosts that report support for a grantor
    bool isAnyGrantorUnreachable = false;

    auto isEmpty() const -> bool { return grantors.empty() && witnesses.empty() && !isAnyGrantorUnreachable; }
};

} // namespace laburnummill::peers
