#pragma once

#include "peers/ipeers.h"
#include "programs/programsummary.h"
#include "programs/programtable.h"
#include "programs/turnabsence.h"

#include <string>
#include <vector>

namespace laburnummill::programs {

/// Decides which hosts have to be asked before tokens of a program are claimed, because they may know of some that were granted and that
/// the program's row does not contain. Does no I/O.
///
/// More than one turn's tokens are granted without the row only with the support of more than half of all hosts, and less needs not be
/// known (OutageGrants). A host that is asked for support remembers the grantor, and hosts report such grants in their heartbeats. So the
/// number of hosts to ask does not grow with the fleet, unless this host is cut off from more than half of it.
class OutageGrantSearch
{
public:
    explicit OutageGrantSearch(const peers::IPeers& peers);

    /// Whether other hosts may have granted more tokens of the program than its row tells.
    auto isNeeded(const ProgramKey& key, const Program& program) const -> bool;

    /// Addresses of the hosts to ask.
    auto hosts(const ProgramKey& key, const Program& program) const -> std::vector<std::string>;

    /// Whether this host supports another one's grants and the row does not show what that has granted.
    auto isGrantorUnsettled(const Program& program) const -> bool;

    /// Whether the host has been restarted since.
    auto hasLostState(const HostIncarnation& host) const -> bool;

    /// The programs of `table` that other hosts have to ask this one about.
    auto reported(const ProgramTable& table) const -> ProgramSummary;

private:
    /// Whether more than half of all hosts are unreachable and may support a grantor that this host has not heard of.
    auto isInMinority() const -> bool;

    const peers::IPeers& m_peers;
};

} // namespace laburnummill::programs
