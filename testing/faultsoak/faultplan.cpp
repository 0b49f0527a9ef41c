#include "faultplan.h"

#include "framework/global/nametable.h"

#include <algorithm>
#include <random>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_faultNames = framework::NameTable<FaultKind, 28>{{
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
}};

/// On the platform's days troubles come every few seconds.
constexpr auto s_meanGap = Milliseconds(1'200);
constexpr auto s_shortest = Milliseconds(200);
constexpr auto s_longest = Milliseconds(4'000);
constexpr auto s_longestSeries = 3;
constexpr auto s_targets = 60;

/// Around an outage of the store within which losses of hosts count together: records are written soon after its return.
constexpr auto s_outageMargin = Milliseconds(4'000);
constexpr auto s_lossesBorne = 2;

auto losesMemory(FaultKind kind) -> bool
{
    return kind == FaultKind::HostKilled || kind == FaultKind::HostRolled;
}

auto takesStoreAway(FaultKind kind) -> bool
{
    return kind == FaultKind::StoreBusy || kind == FaultKind::StoreTooMany || kind == FaultKind::StoreSilent ||
           kind == FaultKind::StoreLosesAnswers;
}

auto isNear(const Fault& loss, const Fault& outage) -> bool
{
    return loss.at + loss.time > outage.at - s_outageMargin && loss.at < outage.at + outage.time + s_outageMargin;
}

/// Losses of hosts beyond what an outage bears become freezes: those lose nothing.
auto boundLosses(std::vector<Fault>& faults) -> void
{
    for (const auto& outage : std::vector<Fault>(faults)) {
        auto losses = 0;
        for (auto& fault : faults) {
            const auto counts = takesStoreAway(outage.kind) && losesMemory(fault.kind) && isNear(fault, outage);
            if (counts && ++losses > s_lossesBorne) {
                fault.kind = FaultKind::HostFrozen;
            }
        }
    }
}

} // namespace

auto nameOf(FaultKind kind) -> std::string_view
{
    return framework::nameOf(s_faultNames, kind);
}

auto drawFaults(std::uint64_t seed, Milliseconds length) -> std::vector<Fault>
{
    auto random = std::mt19937_64(seed);
    const auto between = [&random](Milliseconds least, Milliseconds most) {
        return Milliseconds(least.count() + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>((most - least).count())));
    };
    auto faults = std::vector<Fault>();
    for (auto at = between(Milliseconds(500), Milliseconds(1'500)); at < length; at += between(Milliseconds(100), 2 * s_meanGap)) {
        const auto kind = s_faultNames[random() % s_faultNames.size()].first;
        const auto series = 1 + static_cast<int>(random() % s_longestSeries);
        auto began = at;
        for (auto number = 0; number < series; ++number) {
            const auto fault =
                Fault{.kind = kind, .at = began, .time = between(s_shortest, s_longest), .target = static_cast<int>(random() % s_targets)};
            if (fault.at + fault.time < length) {
                faults.push_back(fault);
            }
            began += between(s_shortest, s_longest);
        }
    }
    std::ranges::sort(faults, {}, &Fault::at);
    boundLosses(faults);
    return faults;
}

} // namespace laburnummill::testing
