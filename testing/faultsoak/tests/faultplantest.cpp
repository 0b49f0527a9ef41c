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
constexpr auto s_mixtures =
    std::array{Mixture::All, Mixture::Planned, Mixture::Rolls, Mixture::Resources, Mixture::Partial, Mixture::Outage};

auto isOutage(const Fault& fault) -> bool
{
    return fault.kind == FaultKind::StoreBusy || fault.kind == FaultKind::StoreTooMany || fault.kind == FaultKind::StoreSilent ||
           fault.kind == FaultKind::StoreLosesAnswers;
}

auto isPartialOutage(const Fault& fault) -> bool
{
    return fault.kind == FaultKind::StorePartlyBusy || fault.kind == FaultKind::StorePartlySilent;
}

/// Outages in which all hosts are killed.
auto lossesIn(const std::vector<Fault>& faults, bool (*isOfKind)(const Fault&)) -> int
{
    auto losses = 0;
    for (const auto& outage : faults) {
        losses += isOfKind(outage) && std::ranges::any_of(faults, [&outage](const auto& loss) {
                      return loss.kind == FaultKind::HostsAllKilled && loss.at > outage.at && loss.at < outage.at + outage.time;
                  });
    }
    return losses;
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

// Guards against a soak that spares hosts in outages of the store, and so does not find answers that rest on their memory (review/13).
TEST(FaultPlan, allHostsAreLostInOutagesOfTheWholeStore)
{
    auto losses = 0;
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        losses += lossesIn(drawFaults(seed, s_length, Mixture::Outage), isOutage);
    }
    CHECK_TRUE(losses > 2 * static_cast<int>(s_seeds));
}

TEST(FaultPlan, allHostsAreLostInOutagesOfSomePartitionsOnly)
{
    auto losses = 0;
    for (auto seed = std::uint64_t{0}; seed < s_seeds; ++seed) {
        const auto faults = drawFaults(seed, s_length, Mixture::Partial);
        CHECK_TRUE(std::ranges::none_of(faults, isOutage));
        losses += lossesIn(faults, isPartialOutage);
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
