#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
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
    DataCentreRolled,    ///< one host after another, each as HostRolled
    HostSignalledEarly,  ///< killed, started again, and told within milliseconds that its settings changed
    HostPortHeld,        ///< killed and started again while another process holds one of its ports
    HostDescriptorsUsed, ///< it can open no more sockets or files
    HostFrozenLong,      ///< for longer than idle connections are kept
    CallersEndless,      ///< callers without a key send requests without end
    CallersLarge,        ///< callers send the first part of large bodies, and stop
    EngineEndless,       ///< answers without end
    StorePartlyBusy,     ///< for a third of its partitions, or two thirds
    StorePartlySilent,
    HostsAllKilled,
};

struct Fault
{
    FaultKind kind;
    framework::Milliseconds at{0};
    framework::Milliseconds time{0}; ///< how long it lasts
    int target = 0;                  ///< of what it meets, by its number
    int turn = 0;                    ///< place in the order in which a data centre's hosts are rolled

    auto operator==(const Fault&) const -> bool = default;
};

auto nameOf(FaultKind kind) -> std::string_view;

/// Which faults a run draws from.
enum class Mixture
{
    All,       ///< but DataCentreRolled
    Planned,   ///< stops, reloads, keys withdrawn, servers that drain: nothing unplanned
    Rolls,     ///< the planned ones, while the store is away
    Resources, ///< starts, stops, and what uses up memory, descriptors and ports
    Partial,   ///< some partitions of the store away, and all hosts lost at once
    Outage,    ///< the whole store away, and all hosts lost at once
};

/// Whether faults of the mixture end all hosts at the same moment.
auto losesAllHosts(Mixture mixture) -> bool;

auto nameOf(Mixture mixture) -> std::string_view;
auto mixtureOf(std::string_view name) -> std::optional<Mixture>;

/// Faults in series that overlap, the same for the same seed.
auto drawFaults(std::uint64_t seed, framework::Milliseconds length, Mixture mixture = Mixture::All) -> std::vector<Fault>;

} // namespace laburnummill::testing
