#pragma once

#include "framework/global/iclock.h"
#include "peers/ipeers.h"
#include "programs/programsummary.h"
#include "programs/programtable.h"
#include "programs/turnabsence.h"

#include <string>
#include <vector>

namespace laburnummill::programs {

/// What a host reports to the others of grants without the store.
struct OutageGrantSummaries
{
    ProgramSummary own;       ///< programs of which it has granted tokens that their rows do not contain
    ProgramSummary supported; ///< programs of which a host that it supports may have granted such tokens
};

/// Decides which hosts have to be asked before tokens of a program are claimed, because they may know of some that were granted and that
/// the program's row does not contain. Does no I/O.
///
/// More than one turn's tokens are granted without the row only with the support of more than half of all hosts; smaller grants need not be
/// known (OutageGrants). Hosts report grants and support in their heartbeats. The grantors that report are asked and, as each knows the
/// grantor that it supports, a few of the supporters. So the number of hosts to ask does not grow with the fleet, unless a grantor does not
/// answer or this host is cut off from more than half of all.
class OutageGrantSearch
{
public:
    OutageGrantSearch(const peers::IPeers& peers, const framework::IClock& clock);

    /// Whether other hosts may have granted more tokens of the program than its row tells.
    auto isNeeded(const ProgramKey& key, const Program& program) const -> bool;

    /// Addresses of the hosts to ask first.
    auto hosts(const ProgramKey& key, const Program& program) const -> std::vector<std::string>;

    /// Whether all hosts have to be asked, as those at `silent` did not answer.
    auto areAllNeeded(const ProgramKey& key, const std::vector<std::string>& silent) const -> bool;

    /// Whether this host supports another one's grants and the row does not show what that has granted.
    auto isGrantorUnsettled(const Program& program) const -> bool;

    /// Whether the host has been restarted since.
    auto hasLostState(const HostIncarnation& host) const -> bool;

    /// What other hosts have to ask this one about, of the programs of `table`.
    auto summaries(const ProgramTable& table) const -> OutageGrantSummaries;

private:
    /// Whether more than half of all hosts are unreachable and may support a grantor that this host has not heard of.
    auto isInMinority() const -> bool;

    const peers::IPeers& m_peers;
    const framework::IClock& m_clock;
};

} // namespace laburnummill::programs
