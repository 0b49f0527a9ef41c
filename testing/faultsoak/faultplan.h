#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace laburnummill::testing {

enum class FaultKind
{
    HostKilled,
    HostFrozen,
    HostRolled,   ///< asked to stop, then started again
    HostReloaded, ///< told that its settings changed
    StoreBusy,
    StoreTooMany,
    StoreSilent,
    StoreLosesAnswers,
    StoreHistoryDropped,
    StorePathCut, ///< of one host
    StorePathSlow,
    StorePathReset,
    DataCentresCut, ///< heartbeats, both ways
    DataCentresCutOneWay,
    PeerPathSilent, ///< answers of one host to others
    PeerPathReset,
    PeerPathDead, ///< open connections are silent for good
    EngineRefuses,
    EngineElsewhere, ///< another server answers at its address
    EngineGarbage,
    EngineStray,
    EngineBreaksOff,
    EngineUnsigned,
    EngineHangs,
    EnginePathCut,
    EnginePathReset,
    EngineDrains,
    KeyWithdrawn,
};

struct Fault
{
    FaultKind kind;
    framework::Milliseconds at{0};
    framework::Milliseconds time{0}; ///< how long it lasts
    int target = 0;                  ///< of what it meets, by its number

    auto operator==(const Fault&) const -> bool = default;
};

auto nameOf(FaultKind kind) -> std::string_view;

/// Faults in series that overlap, the same for the same seed. What was acknowledged while the store was away is held by
/// three hosts: no more than two of them are lost from shortly before such an outage until shortly after it.
auto drawFaults(std::uint64_t seed, framework::Milliseconds length) -> std::vector<Fault>;

} // namespace laburnummill::testing
