#include "programs/turnabsence.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Instant;
using peers::HostSighting;
using records::HostRecord;

/// A silent host may still be serving behind a network partition for this long. Partitions last minutes; after that, the host is assumed
/// to be down.
constexpr auto s_silenceLimit = std::chrono::minutes(10);

auto hasAnswered(const std::string& address, std::uint64_t incarnation, const AbsenceEvidence& evidence) -> bool
{
    return evidence.answered.contains({address, incarnation});
}

/// Whether a host that this one has never heard may be serving: both have been up for too short a time to tell.
auto mayBeServingUnheard(const HostRecord& record, const AbsenceEvidence& evidence) -> bool
{
    const auto limit = static_cast<std::uint64_t>(std::chrono::duration_cast<framework::Milliseconds>(s_silenceLimit).count());
    return evidence.now < evidence.startedAt + s_silenceLimit || evidence.wallMilliseconds < record.registered_at() + limit;
}

auto isRecent(std::uint64_t milliseconds, const AbsenceEvidence& evidence) -> bool
{
    return milliseconds + static_cast<std::uint64_t>(evidence.turnRetention.count()) > evidence.wallMilliseconds;
}

auto latestSighting(const HostRecord& record, const AbsenceEvidence& evidence) -> const HostSighting*
{
    const auto* latest = static_cast<const HostSighting*>(nullptr);
    for (const auto& sighting : evidence.sightings) {
        const auto isSame = sighting.host == record.host() || (sighting.incarnation == 0 && sighting.address == record.address());
        if (isSame && (latest == nullptr || sighting.heardAt > latest->heardAt)) {
            latest = &sighting;
        }
    }
    return latest;
}

/// An incarnation in the register.
auto judgeRegistered(const HostRecord& record, const AbsenceEvidence& evidence) -> AbsenceDoubt
{
    if (record.unaccounted_until() > evidence.wallMilliseconds) {
        return AbsenceDoubt::HostLostState;
    }
    const auto hasEnded = [&record](const HostSighting& sighting) {
        return sighting.hasEnded && sighting.incarnation == record.incarnation() && sighting.address == record.address();
    };
    if (record.has_departed() || hasAnswered(record.address(), record.incarnation(), evidence) ||
        std::ranges::any_of(evidence.sightings, hasEnded)) {
        return AbsenceDoubt::None;
    }
    const auto* seen = latestSighting(record, evidence);
    if (seen != nullptr && seen->incarnation != record.incarnation() && hasAnswered(seen->address, seen->incarnation, evidence)) {
        // A later incarnation serves that could not register yet.
        return isRecent(seen->startedAt, evidence) ? AbsenceDoubt::HostLostState : AbsenceDoubt::None;
    }
    const auto mayBeServing = seen != nullptr ? evidence.now < seen->heardAt + s_silenceLimit : mayBeServingUnheard(record, evidence);
    return mayBeServing ? AbsenceDoubt::HostSilent : AbsenceDoubt::None;
}

/// A host known by its heartbeats or by its address. `isRegistered`: the register has a record of it.
auto judgeSighting(const HostSighting& sighting, bool isRegistered, const AbsenceEvidence& evidence) -> AbsenceDoubt
{
    if (sighting.lostStateAt != Instant{} && evidence.now < sighting.lostStateAt + evidence.turnRetention) {
        return AbsenceDoubt::HostLostState;
    }
    if (isRegistered || sighting.hasEnded) {
        return AbsenceDoubt::None;
    }
    if (!hasAnswered(sighting.address, sighting.incarnation, evidence)) {
        return evidence.now < sighting.heardAt + s_silenceLimit ? AbsenceDoubt::HostSilent : AbsenceDoubt::None;
    }
    const auto isRestarted = !sighting.isFirstStart && isRecent(sighting.startedAt, evidence);
    return isRestarted ? AbsenceDoubt::HostNotRegistered : AbsenceDoubt::None;
}

} // namespace

auto judgeAbsence(const AbsenceEvidence& evidence) -> AbsenceVerdict
{
    if (!evidence.registered) {
        return {.doubt = AbsenceDoubt::RegisterUnread, .host = {}};
    }
    for (const auto& record : *evidence.registered) {
        if (const auto doubt = judgeRegistered(record, evidence); doubt != AbsenceDoubt::None) {
            return {.doubt = doubt, .host = record.host()};
        }
    }
    for (const auto& sighting : evidence.sightings) {
        const auto isRegistered = std::ranges::any_of(*evidence.registered, [&sighting](const HostRecord& record) {
            // The register's record of a host also accounts for the host's earlier incarnations.
            return sighting.incarnation == 0 ? record.address() == sighting.address : record.host() == sighting.host;
        });
        if (const auto doubt = judgeSighting(sighting, isRegistered, evidence); doubt != AbsenceDoubt::None) {
            return {.doubt = doubt, .host = sighting.host.empty() ? sighting.address : sighting.host};
        }
    }
    return {};
}

} // namespace laburnummill::programs
