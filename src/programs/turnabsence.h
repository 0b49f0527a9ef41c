#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"
#include "peers/hostsighting.h"
#include "programs/turnrecords.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace laburnummill::programs {

/// Why a turn that neither the store nor any host that answered has may exist nevertheless.
enum class AbsenceDoubt
{
    None,              ///< the turn does not exist
    RegisterUnread,    ///< the store did not answer
    HostSilent,        ///< a host that may be serving did not answer
    HostLostState,     ///< a host ended without having stored its turns, and they may still be referred to
    HostNotRegistered, ///< a host was restarted that is not in the register, so that its earlier incarnations are unknown
};

inline constexpr auto s_absenceDoubtNames = framework::NameTable<AbsenceDoubt, 5>{{
    {AbsenceDoubt::None, "none"},
    {AbsenceDoubt::RegisterUnread, "register_unread"},
    {AbsenceDoubt::HostSilent, "host_silent"},
    {AbsenceDoubt::HostLostState, "host_lost_state"},
    {AbsenceDoubt::HostNotRegistered, "host_not_registered"},
}};

/// Address of a host, and its incarnation.
using HostIncarnation = std::pair<std::string, std::uint64_t>;

/// What is known once a search for a turn has found nothing.
struct AbsenceEvidence
{
    /// The register of hosts, read after the hosts had answered; nullopt if the store did not answer.
    std::optional<std::vector<records::HostRecord>> registered;
    std::vector<peers::HostSighting> sightings;
    /// The hosts that have answered that they do not have the turn, this host included.
    std::set<HostIncarnation> answered;
    framework::Instant now{};
    framework::Instant startedAt{};           ///< of this host
    std::uint64_t wallMilliseconds = 0;       ///< Unix milliseconds
    framework::Milliseconds turnRetention{0}; ///< for which turns are kept, with an allowance for clock differences
};

/// A result with the host that it is about, for the log.
struct AbsenceVerdict
{
    AbsenceDoubt doubt = AbsenceDoubt::None;
    std::string host;
};

/// Decides whether a turn that was found nowhere certainly does not exist. It exists nowhere if each incarnation of a host that may have
/// held it in memory only has answered, or has ended with everything stored, or ended longer ago than turns are retained.
auto judgeAbsence(const AbsenceEvidence& evidence) -> AbsenceVerdict;

} // namespace laburnummill::programs
