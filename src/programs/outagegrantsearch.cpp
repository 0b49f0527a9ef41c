#include "programs/outagegrantsearch.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Milliseconds;

/// More than half of all hosts support a grantor of more than one turn's tokens, so that one of this many that report support knows it.
constexpr auto s_witnesses = std::size_t{7};

/// A grantor reports its grants within this time after it has collected support for them.
constexpr auto s_reportTime = Milliseconds(2'000);

} // namespace

OutageGrantSearch::OutageGrantSearch(const peers::IPeers& peers, const framework::IClock& clock)
    : m_peers(peers)
    , m_clock(clock)
{}

auto OutageGrantSearch::isNeeded(const ProgramKey& key, const Program& program) const -> bool
{
    return isGrantorUnsettled(program) || isInMinority() || !m_peers.outageReports(ProgramSummary::of(key).bits()).isEmpty();
}

auto OutageGrantSearch::hosts(const ProgramKey& key, const Program& program) const -> std::vector<std::string>
{
    auto reports = m_peers.outageReports(ProgramSummary::of(key).bits());
    if (isInMinority() || reports.isAnyGrantorUnreachable) {
        return m_peers.reachableHosts();
    }
    auto addresses = std::move(reports.grantors);
    reports.witnesses.resize(std::min(reports.witnesses.size(), s_witnesses));
    addresses.insert(addresses.end(), reports.witnesses.begin(), reports.witnesses.end());
    if (isGrantorUnsettled(program) && std::ranges::find(addresses, program.supportedGrantor) == addresses.end()) {
        addresses.push_back(program.supportedGrantor);
    }
    return addresses;
}

auto OutageGrantSearch::areAllNeeded(const ProgramKey& key, const std::vector<std::string>& silent) const -> bool
{
    if (silent.empty()) {
        return false;
    }
    const auto reports = m_peers.outageReports(ProgramSummary::of(key).bits());
    return reports.isAnyGrantorUnreachable || std::ranges::any_of(reports.grantors, [&silent](const std::string& grantor) {
               return std::ranges::find(silent, grantor) != silent.end();
           });
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

auto OutageGrantSearch::summaries(const ProgramTable& table) const -> OutageGrantSummaries
{
    auto summaries = OutageGrantSummaries();
    for (const auto& [key, program] : table.programs()) {
        if (program->unrecordedTokens > 0) {
            summaries.own.add(key);
        }
        if (!isGrantorUnsettled(*program)) {
            continue;
        }
        const auto isSettled =
            m_clock.now() > program->supportedAt + s_reportTime &&
            m_peers.hasRecordedGrants(program->supportedGrantor, program->supportedIncarnation, ProgramSummary::of(key).bits());
        if (!isSettled) {
            summaries.supported.add(key);
        }
    }
    return summaries;
}

} // namespace laburnummill::programs
