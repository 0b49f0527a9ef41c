#include "programs/outagegrantsearch.h"

#include <algorithm>

namespace laburnummill::programs {

OutageGrantSearch::OutageGrantSearch(const peers::IPeers& peers)
    : m_peers(peers)
{}

auto OutageGrantSearch::isNeeded(const ProgramKey& key, const Program& program) const -> bool
{
    return isGrantorUnsettled(program) || isInMinority() || !m_peers.outageGrantHolders(ProgramSummary::of(key).bits()).empty();
}

auto OutageGrantSearch::hosts(const ProgramKey& key, const Program& program) const -> std::vector<std::string>
{
    if (isInMinority()) {
        return m_peers.reachableHosts();
    }
    auto addresses = m_peers.outageGrantHolders(ProgramSummary::of(key).bits());
    if (isGrantorUnsettled(program) && std::ranges::find(addresses, program.supportedGrantor) == addresses.end()) {
        addresses.push_back(program.supportedGrantor);
    }
    return addresses;
}

auto OutageGrantSearch::isGrantorUnsettled(const Program& program) const -> bool
{
    const auto isOwn = program.supportedGrantor == m_peers.ownAddress() && program.supportedIncarnation == m_peers.ownIncarnation();
    // Only programs whose history the hosts keep are granted more than one turn's tokens.
    return program.history == TurnHistory::KeptByHosts && !program.supportedGrantor.empty() && !isOwn &&
           !ProgramTable::hasEntry(program, program.supportedIncarnation);
}

auto OutageGrantSearch::hasLostState(const HostIncarnation& host) const -> bool
{
    const auto sightings = m_peers.sightings();
    return std::ranges::any_of(sightings, [&host](const peers::HostSighting& sighting) {
        return sighting.address == host.first && sighting.incarnation > host.second;
    });
}

auto OutageGrantSearch::isInMinority() const -> bool
{
    return 2 * m_peers.unreachableHosts() > m_peers.membershipSize();
}

auto OutageGrantSearch::reported(const ProgramTable& table) const -> ProgramSummary
{
    auto summary = ProgramSummary();
    auto supported = std::vector<std::pair<ProgramKey, ProgramPtr>>();
    for (const auto& [key, program] : table.programs()) {
        if (program->unrecordedTokens > 0) {
            summary.add(key);
        } else if (isGrantorUnsettled(*program)) {
            supported.emplace_back(key, program);
        }
    }
    if (supported.empty()) {
        return summary;
    }
    const auto reachable = m_peers.reachableHosts();
    for (const auto& [key, program] : supported) {
        // A grantor that is reachable reports its grants by itself.
        const auto& grantor = program->supportedGrantor;
        if (std::ranges::find(reachable, grantor) == reachable.end() || hasLostState({grantor, program->supportedIncarnation})) {
            summary.add(key);
        }
    }
    return summary;
}

} // namespace laburnummill::programs
