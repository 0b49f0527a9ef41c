#include "faultsoak/balancer.h"

// The test harness redefines new: what the standard library needs comes first.
#include <set>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;

TEST_GROUP(Rotation)
{
    /// Hosts 0, 2, 4, 6 are the first data centre's.
    Rotation rotation{8, 2};

    auto used(int dataCentre) const->std::set<int>
    {
        auto hosts = std::set<int>();
        for (auto random = std::uint64_t{0}; random < 24; ++random) {
            hosts.insert(rotation.hostFor(dataCentre, random));
        }
        return hosts;
    }

    auto miss(int host, int times)->void
    {
        for (auto count = 0; count < times; ++count) {
            rotation.probed(host, false);
        }
    }
};

TEST(Rotation, twoMissesTakeAHostOutAndOneSuccessPutsItBack)
{
    miss(2, 1);
    CHECK_TRUE(used(0) == (std::set{0, 2, 4, 6}));
    miss(2, 1);
    CHECK_TRUE(used(0) == (std::set{0, 4, 6}));
    rotation.probed(2, true);
    CHECK_TRUE(used(0) == (std::set{0, 2, 4, 6}));
}

TEST(Rotation, allHostsAreUsedOnceFewerThanHalfAreInRotation)
{
    miss(0, 2);
    miss(2, 2);
    CHECK_TRUE(used(0) == (std::set{4, 6}));
    miss(4, 2);
    CHECK_TRUE(used(0) == (std::set{0, 2, 4, 6}));
    CHECK_TRUE(used(1) == (std::set{1, 3, 5, 7}));
}
