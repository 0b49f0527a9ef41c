#include "programs/fleetmembership.h"

#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// What a silent host last said of the store holds for this long. A killed host is back, and heard, within a few seconds.
constexpr auto s_statementRetention = Milliseconds(5'000);

/// A member that has been silent for this long, while the store answered this host, has failed or is cut off itself.
constexpr auto s_absenceTime = Milliseconds(4'000);

/// As s_absenceTime, of a member that only the register names: hosts that run are heard within one or two heartbeats.
constexpr auto s_unheardTime = Milliseconds(2'000);

/// A member that has been silent for this long, while the store answered this host, is gone for good.
constexpr auto s_silenceLimit = Milliseconds(30'000);

/// Updates come several times a second. After a longer gap this host was late itself.
constexpr auto s_maxUpdateGap = Milliseconds(1'000);

/// A host counts as cut off if at least this fraction of the fleet fell silent. Single hosts that fail fall silent as well.
constexpr auto s_cutOffFraction = 1.0 / 6;

} // namespace

FleetMembership::FleetMembership(std::string ownHost)
    : m_ownHost(std::move(ownHost))
{}

auto FleetMembership::applyRegister(const std::vector<records::HostRecord>& registered, Instant now) -> void
{
    for (const auto& record : registered) {
        const auto found = m_members.find(record.host());
        const auto isLater = found != m_members.end() && found->second.incarnation > record.incarnation();
        if (record.host() == m_ownHost || isLater) {
            continue;
        }
        if (record.has_departed()) {
            m_members.erase(record.host());
        } else if (found == m_members.end()) {
            m_members[record.host()] = {.incarnation = record.incarnation(), .dataCentre = record.data_centre(), .heardAt = now};
        }
    }
    m_isRegisterKnown = true;
}

auto FleetMembership::applyHeartbeat(const peers::messages::Heartbeat& heartbeat, Instant now) -> void
{
    if (heartbeat.host().empty() || heartbeat.host() == m_ownHost) {
        return;
    }
    const auto ended = m_ended.find(heartbeat.host());
    const auto found = m_members.find(heartbeat.host());
    if ((ended != m_ended.end() && heartbeat.incarnation() <= ended->second) ||
        (found != m_members.end() && heartbeat.incarnation() < found->second.incarnation)) {
        return;
    }
    if (heartbeat.has_ended()) {
        m_ended[heartbeat.host()] = heartbeat.incarnation();
        m_members.erase(heartbeat.host());
        return;
    }
    m_members[heartbeat.host()] = {.incarnation = heartbeat.incarnation(),
                                   .dataCentre = heartbeat.data_centre(),
                                   .heardAt = now,
                                   .reachesStore = heartbeat.reaches_store(),
                                   .isLeaving = heartbeat.is_leaving(),
                                   .wasHeard = true};
}

auto FleetMembership::update(bool isStoreReached, Instant now) -> void
{
    const auto gap = now - m_updatedAt;
    const auto isLate = m_updatedAt != Instant{} && gap > s_maxUpdateGap;
    if (isLate) {
        // Heartbeats that arrived meanwhile have not been handled yet: the other hosts were not silent.
        for (auto& [host, member] : m_members) {
            member.heardAt = std::min(now, member.heardAt + gap);
        }
    }
    if (isLate || !isStoreReached || !m_isStoreReached) {
        m_storeReachedSince = now;
    }
    m_updatedAt = now;
    m_isStoreReached = isStoreReached;
    const auto silence = [this, now](const Member& member) { return now - std::max(member.heardAt, m_storeReachedSince); };
    if (isStoreReached) {
        std::erase_if(m_members, [&silence](const auto& entry) { return silence(entry.second) > s_silenceLimit; });
        for (auto& [host, member] : m_members) {
            member.isAbsent = member.isAbsent || silence(member) > (member.wasHeard ? s_absenceTime : s_unheardTime);
        }
    }
}

auto FleetMembership::countSilent(Instant now) const -> int
{
    return static_cast<int>(std::ranges::count_if(m_members, [&](const auto& entry) { return isSilent(entry.second, now); }));
}

auto FleetMembership::hasOtherDataCentre(std::string_view dataCentre) const -> bool
{
    return std::ranges::any_of(m_members, [dataCentre](const auto& entry) {
        const auto& member = entry.second;
        return !member.dataCentre.empty() && member.dataCentre != dataCentre && !member.isLeaving;
    });
}

auto FleetMembership::judge(Instant now) const -> OutageVerdict
{
    auto verdict = OutageVerdict();
    auto places = std::map<std::string_view, Place>();
    for (const auto& [host, member] : m_members) {
        if (member.isAbsent) {
            continue;
        }
        ++verdict.members;
        const auto wasHeardLately = now <= member.heardAt + s_statementRetention;
        const auto isLost = member.reachesStore && isSilent(member, now);
        auto& place = places[member.dataCentre];
        ++place.members;
        place.silent += isLost ? 1 : 0;
        verdict.silent += isLost ? 1 : 0;
        verdict.host = member.reachesStore || !wasHeardLately ? host : verdict.host;
    }
    const auto isPlaceLost = [](const auto& entry) {
        return !entry.first.empty() && entry.second.members > 1 && entry.second.silent == entry.second.members;
    };
    const auto isSeparated = verdict.silent > 0 && verdict.silent >= s_cutOffFraction * verdict.members;
    if (isSeparated || std::ranges::any_of(places, isPlaceLost)) {
        verdict.scope = OutageScope::CutOff;
    }
    return verdict;
}

auto FleetMembership::isSilent(const Member& member, Instant now) const -> bool
{
    return now >= member.heardAt + peers::unreachableAfter(size());
}

} // namespace laburnummill::programs
