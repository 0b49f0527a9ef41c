#include "faultplan.h"

#include "framework/global/nametable.h"

#include <algorithm>
#include <array>
#include <random>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_faultNames = framework::NameTable<FaultKind, 39>{{
    {FaultKind::HostKilled, "host_killed"},
    {FaultKind::HostFrozen, "host_frozen"},
    {FaultKind::HostRolled, "host_rolled"},
    {FaultKind::HostReloaded, "host_reloaded"},
    {FaultKind::StoreBusy, "store_busy"},
    {FaultKind::StoreTooMany, "store_too_many"},
    {FaultKind::StoreSilent, "store_silent"},
    {FaultKind::StoreLosesAnswers, "store_loses_answers"},
    {FaultKind::StoreHistoryDropped, "store_history_dropped"},
    {FaultKind::StorePathCut, "store_path_cut"},
    {FaultKind::StorePathSlow, "store_path_slow"},
    {FaultKind::StorePathReset, "store_path_reset"},
    {FaultKind::DataCentresCut, "data_centres_cut"},
    {FaultKind::DataCentresCutOneWay, "data_centres_cut_one_way"},
    {FaultKind::PeerPathSilent, "peer_path_silent"},
    {FaultKind::PeerPathReset, "peer_path_reset"},
    {FaultKind::PeerPathDead, "peer_path_dead"},
    {FaultKind::EngineRefuses, "engine_refuses"},
    {FaultKind::EngineElsewhere, "engine_elsewhere"},
    {FaultKind::EngineGarbage, "engine_garbage"},
    {FaultKind::EngineStray, "engine_stray"},
    {FaultKind::EngineBreaksOff, "engine_breaks_off"},
    {FaultKind::EngineUnsigned, "engine_unsigned"},
    {FaultKind::EngineHangs, "engine_hangs"},
    {FaultKind::EnginePathCut, "engine_path_cut"},
    {FaultKind::EnginePathReset, "engine_path_reset"},
    {FaultKind::EngineDrains, "engine_drains"},
    {FaultKind::KeyWithdrawn, "key_withdrawn"},
    {FaultKind::DataCentreRolled, "data_centre_rolled"},
    {FaultKind::HostSignalledEarly, "host_signalled_early"},
    {FaultKind::HostPortHeld, "host_port_held"},
    {FaultKind::HostDescriptorsUsed, "host_descriptors_used"},
    {FaultKind::HostFrozenLong, "host_frozen_long"},
    {FaultKind::CallersEndless, "callers_endless"},
    {FaultKind::CallersLarge, "callers_large"},
    {FaultKind::EngineEndless, "engine_endless"},
    {FaultKind::StorePartlyBusy, "store_partly_busy"},
    {FaultKind::StorePartlySilent, "store_partly_silent"},
    {FaultKind::HostsAllKilled, "hosts_all_killed"},
}};

constexpr auto s_mixtureNames = framework::NameTable<Mixture, 6>{{
    {Mixture::All, "all"},
    {Mixture::Planned, "planned"},
    {Mixture::Rolls, "rolls"},
    {Mixture::Resources, "resources"},
    {Mixture::Partial, "partial"},
    {Mixture::Outage, "outage"},
}};

/// DataCentreRolled, and the kinds after it, are left to the other mixtures.
constexpr auto s_kindsOfAll = static_cast<std::size_t>(FaultKind::DataCentreRolled);

/// Twice in a list: comes twice as often.
constexpr auto s_plannedKinds = std::array{FaultKind::DataCentreRolled, FaultKind::DataCentreRolled, FaultKind::HostRolled,
                                           FaultKind::HostReloaded,     FaultKind::KeyWithdrawn,     FaultKind::EngineDrains};
constexpr auto s_rollsKinds = std::array{FaultKind::DataCentreRolled, FaultKind::DataCentreRolled, FaultKind::HostReloaded,
                                         FaultKind::KeyWithdrawn,     FaultKind::EngineDrains,     FaultKind::StoreBusy,
                                         FaultKind::StoreTooMany,     FaultKind::StoreSilent,      FaultKind::StoreLosesAnswers};
constexpr auto s_resourcesKinds =
    std::array{FaultKind::HostSignalledEarly, FaultKind::HostSignalledEarly, FaultKind::HostPortHeld, FaultKind::HostDescriptorsUsed,
               FaultKind::HostFrozenLong,     FaultKind::CallersEndless,     FaultKind::CallersLarge, FaultKind::EngineEndless,
               FaultKind::HostRolled,         FaultKind::HostReloaded,       FaultKind::HostKilled,   FaultKind::EngineGarbage};
constexpr auto s_partialKinds =
    std::array{FaultKind::StorePartlyBusy, FaultKind::StorePartlySilent, FaultKind::StorePartlyBusy, FaultKind::StorePartlySilent,
               FaultKind::HostsAllKilled,  FaultKind::HostKilled,        FaultKind::HostFrozen,      FaultKind::HostReloaded,
               FaultKind::StorePathReset,  FaultKind::StorePathCut,      FaultKind::EngineBreaksOff, FaultKind::PeerPathReset};
constexpr auto s_outageKinds =
    std::array{FaultKind::StoreBusy,       FaultKind::StoreSilent,    FaultKind::StoreTooMany,   FaultKind::StoreBusy,
               FaultKind::StorePartlyBusy, FaultKind::HostsAllKilled, FaultKind::HostsAllKilled, FaultKind::HostKilled,
               FaultKind::HostRolled,      FaultKind::HostFrozen,     FaultKind::StorePathReset, FaultKind::EngineBreaksOff};

/// On the platform's days troubles come every few seconds.
constexpr auto s_meanGap = Milliseconds(1'200);
constexpr auto s_shortest = Milliseconds(200);
constexpr auto s_longest = Milliseconds(4'000);
constexpr auto s_longFreeze = Milliseconds(6'000);
constexpr auto s_longestSeries = 3;
constexpr auto s_targets = 60;

/// Hosts of a data centre that are rolled at a time, and the gap between two.
constexpr auto s_leastRolled = 2;
constexpr auto s_mostRolled = 6;
constexpr auto s_shortestGap = Milliseconds(500);
constexpr auto s_longestGap = Milliseconds(2'000);

/// A host that is rolled is gone and back within this time.
constexpr auto s_rollTime = Milliseconds(5'000);

auto drawKind(std::uint64_t random, Mixture mixture) -> FaultKind
{
    switch (mixture) {
    case Mixture::Planned:
        return s_plannedKinds[random % s_plannedKinds.size()];
    case Mixture::Rolls:
        return s_rollsKinds[random % s_rollsKinds.size()];
    case Mixture::Resources:
        return s_resourcesKinds[random % s_resourcesKinds.size()];
    case Mixture::Partial:
        return s_partialKinds[random % s_partialKinds.size()];
    case Mixture::Outage:
        return s_outageKinds[random % s_outageKinds.size()];
    case Mixture::All:
        break;
    }
    return s_faultNames[random % s_kindsOfAll].first;
}

} // namespace

auto nameOf(FaultKind kind) -> std::string_view
{
    return framework::nameOf(s_faultNames, kind);
}

auto losesAllHosts(Mixture mixture) -> bool
{
    return mixture == Mixture::Partial || mixture == Mixture::Outage;
}

auto nameOf(Mixture mixture) -> std::string_view
{
    return framework::nameOf(s_mixtureNames, mixture);
}

auto mixtureOf(std::string_view name) -> std::optional<Mixture>
{
    return framework::valueOf(s_mixtureNames, name);
}

auto drawFaults(std::uint64_t seed, Milliseconds length, Mixture mixture) -> std::vector<Fault>
{
    auto random = std::mt19937_64(seed);
    const auto between = [&random](Milliseconds least, Milliseconds most) {
        return Milliseconds(least.count() + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>((most - least).count())));
    };
    auto faults = std::vector<Fault>();
    for (auto at = between(Milliseconds(500), Milliseconds(1'500)); at < length; at += between(Milliseconds(100), 2 * s_meanGap)) {
        const auto kind = drawKind(random(), mixture);
        if (kind == FaultKind::DataCentreRolled) {
            const auto target = static_cast<int>(random() % s_targets);
            const auto hosts = s_leastRolled + static_cast<int>(random() % (s_mostRolled - s_leastRolled + 1));
            auto began = at;
            for (auto turn = 0; turn < hosts && began + s_rollTime < length; ++turn) {
                faults.push_back({.kind = kind, .at = began, .time = s_rollTime, .target = target, .turn = turn});
                began += between(s_shortestGap, s_longestGap);
            }
            continue;
        }
        const auto series = 1 + static_cast<int>(random() % s_longestSeries);
        auto began = at;
        for (auto number = 0; number < series; ++number) {
            auto fault =
                Fault{.kind = kind, .at = began, .time = between(s_shortest, s_longest), .target = static_cast<int>(random() % s_targets)};
            fault.time = kind == FaultKind::HostFrozenLong ? s_longFreeze : fault.time;
            if (fault.at + fault.time < length) {
                faults.push_back(fault);
            }
            began += between(s_shortest, s_longest);
        }
    }
    std::ranges::sort(faults, {}, &Fault::at);
    return faults;
}

} // namespace laburnummill::testing
