#include "faultsoak/faultplan.h"

// The test harness redefines new: what the standard library needs comes first.
#include <algorithm>
#include <array>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_length = Milliseconds(30'000);
constexpr auto s_seeds = std::uint64_t{200};
constexpr auto s_mixtures = std::array{Mixture::All, Mixture::Planned, Mixture::Rolls, Mixture::Resources, Mixture::Partial};

auto isOutage(const Fault& fault) -> bool
{
    return fault.kind == FaultKind::StoreBusy || fault.kind == FaultKind::StoreTooMany || fault.kind == FaultKind::StoreSilent ||
           fault.kind == FaultKind::StoreLosesAnswers;
}

auto isLossIn(const Fault& fault, const Fault& outage) -> bool
{
    const auto isLoss = fault.kind == FaultKind::HostKilled || fault.kind == FaultKind::HostRolled ||
                        fault.kind == FaultKind::DataCentreRolled || fault.kind == FaultKind::HostSignalledEarly ||
                        fault.kind == FaultKind::HostPortHeld;
    return isLoss && fault.at < outage.at + outage.time && fault.at + fault.time > outage.at;
}

} // namespace

TEST_GROUP(FaultPlan){};

TEST(FaultPlan, aSeedAlwaysGivesTheSameFaults)
{
    CHECK_TRUE(drawFaults(7, s_length) == drawFaults(7, s_length));
    CHECK_FALSE(drawFaults(7, s_length) == drawFaults(8, s_length));
}

TEST(FaultPlan, allKindsComeAndAllEndInTime)
{
    auto kinds = std::set<FaultKind>();
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        for (const auto mixture : s_mixtures) {
            for (const auto& fault : drawFaults(seed, s_length, mixture)) {
                kinds.insert(fault.kind);
                CHECK_TRUE(fault.at + fault.time < s_length);
            }
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(FaultKind::HostsAllKilled) + 1, kinds.size());
}

TEST(FaultPlan, noMoreHostsAreLostInAnOutageThanItsRecordsSurvive)
{
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        for (const auto mixture : s_mixtures) {
            const auto faults = drawFaults(seed, s_length, mixture);
            for (const auto& outage : faults) {
                const auto losses = std::ranges::count_if(faults, [&](const auto& fault) { return isLossIn(fault, outage); });
                CHECK_TRUE(!isOutage(outage) || losses <= 2);
            }
        }
    }
}

TEST(FaultPlan, allHostsAreLostInOutagesOfSomePartitionsOnly)
{
    auto losses = 0;
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        const auto faults = drawFaults(seed, s_length, Mixture::Partial);
        CHECK_TRUE(std::ranges::none_of(faults, isOutage));
        for (const auto& fault : faults) {
            const auto isPartial = fault.kind == FaultKind::StorePartlyBusy || fault.kind == FaultKind::StorePartlySilent;
            losses += isPartial && std::ranges::any_of(faults, [&](const auto& loss) {
                          return loss.kind == FaultKind::HostsAllKilled && loss.at > fault.at && loss.at < fault.at + fault.time;
                      });
        }
    }
    CHECK_TRUE(losses > static_cast<int>(s_seeds));
}

TEST(FaultPlan, plannedWorkIsAllThatThePlannedMixtureHas)
{
    auto rolls = 0;
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        for (const auto& fault : drawFaults(seed, s_length, Mixture::Planned)) {
            CHECK_FALSE(isOutage(fault));
            CHECK_FALSE(fault.kind == FaultKind::HostKilled || fault.kind == FaultKind::HostFrozen);
            rolls += fault.kind == FaultKind::DataCentreRolled && fault.turn > 0 ? 1 : 0;
        }
    }
    CHECK_TRUE(rolls > static_cast<int>(s_seeds));
}
