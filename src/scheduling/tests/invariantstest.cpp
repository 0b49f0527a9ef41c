#include "scheduling/internal/fairsharepolicy.h"
#include "testing/soak/scheduling/schedulingworld.h"

#include <CppUTest/TestHarness.h>

using laburnummill::framework::Instant;
using laburnummill::scheduling::AdmissionRules;
using laburnummill::scheduling::DispatcherSettings;
using laburnummill::scheduling::EngineState;
using laburnummill::scheduling::FairSharePolicy;
using laburnummill::scheduling::FairShareWeights;
using laburnummill::testing::productParts;
using laburnummill::testing::SchedulingVerdict;
using laburnummill::testing::SchedulingWorld;

namespace {

constexpr auto s_steps = std::uint64_t{60'000};
constexpr auto s_seeds = std::uint64_t{8};

class AlwaysWarmRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto isWarm(const EngineState&, Instant) const -> bool override { return true; }
};

class ResetsIgnoredRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto coldAfterReset() const -> bool override { return false; }
};

class SingleProbeRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto isWarm(const EngineState& engine, Instant) const -> bool override { return !engine.reportedCold; }
};

class OrphansIgnoredRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto countsOrphans() const -> bool override { return false; }
};

class NoRecoveryWaitRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto waitsForPeers() const -> bool override { return false; }
    auto countsOrphans() const -> bool override { return false; }
};

class DrainsIgnoredRules final : public AdmissionRules
{
public:
    using AdmissionRules::AdmissionRules;
    auto takesNew(const EngineState& engine, Instant) const -> bool override { return engine.reported; }
};

class MostServedFirstPolicy final : public FairSharePolicy
{
public:
    MostServedFirstPolicy()
        : FairSharePolicy(FairShareWeights())
    {}

protected:
    auto accountTerm(double virtualTime) const -> double override { return -1'000 * virtualTime; }
};

template<class Rules>
auto withRules() -> laburnummill::testing::SchedulingParts
{
    auto parts = productParts();
    parts.rules = [] { return std::make_unique<Rules>(DispatcherSettings()); };
    return parts;
}

/// Total number of violations of one kind over several seeds.
auto sum(const laburnummill::testing::SchedulingParts& parts, std::uint64_t SchedulingVerdict::*kind) -> std::uint64_t
{
    auto total = std::uint64_t{0};
    for (auto seed = std::uint64_t{1}; seed <= s_seeds; ++seed) {
        total += SchedulingWorld(seed, parts).run(s_steps).*kind;
    }
    return total;
}

} // namespace

TEST_GROUP(SchedulingInvariants){};

TEST(SchedulingInvariants, holdDuringFailoversRestartsDrainsAndExecutorDeaths)
{
    for (auto seed = std::uint64_t{1}; seed <= s_seeds; ++seed) {
        const auto verdict = SchedulingWorld(seed, productParts()).run(s_steps);
        CHECK_TRUE(verdict.holds());
        CHECK_TRUE(verdict.granted > 0);
    }
}

TEST(SchedulingInvariants, ignoringTheColdLimitIsDetected)
{
    CHECK_TRUE(sum(withRules<AlwaysWarmRules>(), &SchedulingVerdict::beyondBound) > 0);
}

TEST(SchedulingInvariants, ignoringResetsIsDetected)
{
    CHECK_TRUE(sum(withRules<ResetsIgnoredRules>(), &SchedulingVerdict::beyondBound) > 0);
}

TEST(SchedulingInvariants, treatingASingleHealthyReportAsWarmIsDetected)
{
    CHECK_TRUE(sum(withRules<SingleProbeRules>(), &SchedulingVerdict::beyondBound) > 0);
}

TEST(SchedulingInvariants, ignoringOrphansIsDetected)
{
    CHECK_TRUE(sum(withRules<OrphansIgnoredRules>(), &SchedulingVerdict::beyondBound) > 0);
}

TEST(SchedulingInvariants, notWaitingForThePermitsOfPeersIsDetected)
{
    CHECK_TRUE(sum(withRules<NoRecoveryWaitRules>(), &SchedulingVerdict::beyondBound) > 0);
}

TEST(SchedulingInvariants, ignoringDrainsIsDetected)
{
    CHECK_TRUE(sum(withRules<DrainsIgnoredRules>(), &SchedulingVerdict::whileLeaving) > 0);
}

TEST(SchedulingInvariants, servingTheMostServedAccountFirstIsDetected)
{
    auto parts = productParts();
    parts.policy = [] { return std::make_unique<MostServedFirstPolicy>(); };
    CHECK_TRUE(sum(parts, &SchedulingVerdict::starved) > 0);
}
