#pragma once

#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "programs/outagescope.h"
#include "programs/turnrecords.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::programs {

/// A scope with the evidence for it, for the log.
struct OutageVerdict
{
    OutageScope scope = OutageScope::Undecided;
    int members = 1;  ///< hosts that may be serving, this one included
    int silent = 0;   ///< of these, hosts that are not heard and reached the store when they last were
    std::string host; ///< one that may reach the store; empty if all have said that they do not
};

/// The hosts that may be serving, and what each of them last said of the store. Performs no I/O.
///
/// A host becomes a member by its record in the register of hosts or by its first heartbeat. It remains one until it has ended in order, or
/// until it has been silent for a long time in which the store answered this host: a host that is itself cut off forgets nobody. Hosts that
/// join while this one is cut off remain unknown to it.
class FleetMembership
{
public:
    explicit FleetMembership(std::string ownHost);

    /// Adds the hosts of the register, and removes those that have departed.
    auto applyRegister(const std::vector<records::HostRecord>& registered, framework::Instant now) -> void;

    auto applyHeartbeat(const peers::messages::Heartbeat& heartbeat, framework::Instant now) -> void;

    /// Called at least with each heartbeat of this host. `isStoreReached`: the store answers this host by the direct way.
    auto update(bool isStoreReached, framework::Instant now) -> void;

    /// Whether the register of hosts has been read.
    auto isRegisterKnown() const -> bool { return m_isRegisterKnown; }

    /// Number of hosts that may be serving, this host included.
    auto size() const -> int { return 1 + static_cast<int>(m_members.size()); }

    /// Members that are not heard at present.
    auto countSilent(framework::Instant now) const -> int;

    /// Whether a data centre other than `dataCentre` has members.
    auto hasOtherDataCentre(std::string_view dataCentre) const -> bool;

    /// Which hosts an outage of the store concerns that this host notices.
    auto judge(framework::Instant now) const -> OutageVerdict;

private:
    struct Member
    {
        std::uint64_t incarnation = 0;
        std::string dataCentre;       ///< empty if it is unknown
        framework::Instant heardAt{}; ///< last heartbeat, or when the register named the host
        bool reachesStore = true;     ///< by its last heartbeat; true until there is one
        bool isLeaving = false;
        bool wasHeard = false; ///< not only named by the register
        bool isAbsent = false; ///< it fell silent while the store answered this host, which therefore was not the one that was cut off
    };

    /// Members of a data centre.
    struct Place
    {
        int members = 0;
        int silent = 0; ///< that reached the store when they were last heard
    };

    auto isSilent(const Member& member, framework::Instant now) const -> bool;

    std::string m_ownHost;
    std::map<std::string, Member, std::less<>> m_members;      ///< by name of the host
    std::map<std::string, std::uint64_t, std::less<>> m_ended; ///< latest incarnation that has ended in order, by name of the host
    framework::Instant m_updatedAt{};
    framework::Instant m_storeReachedSince{}; ///< without interruption
    bool m_isStoreReached = false;
    bool m_isRegisterKnown = false;
};

} // namespace laburnummill::programs
