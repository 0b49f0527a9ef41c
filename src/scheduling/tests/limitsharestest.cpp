#include "scheduling/limitshares.h"
#include "scheduling/limitbuckets.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <numeric>

using namespace laburnummill::scheduling;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(LimitShares){
    /// Hosts 1 to `count`, all with this demand.
    static auto hosts(std::size_t count, double demand)->std::vector<HostDemand>{auto made = std::vector<HostDemand>(count);
for (auto index = std::size_t{0}; index < count; ++index) {
    made[index] = {.host = index + 1, .perSecond = demand};
}
return made;
}

static auto servers(std::size_t count) -> std::vector<std::uint64_t>
{
    auto made = std::vector<std::uint64_t>(count);
    std::iota(made.begin(), made.end(), 1);
    return made;
}

/// Shares of all hosts, each from its own computation.
static auto shares(const std::vector<HostDemand>& hosts, std::size_t serverCount, std::uint64_t server, double perSecond)
    -> std::vector<double>
{
    auto made = std::vector<double>();
    for (const auto& host : hosts) {
        made.push_back(LimitShares(host.host, hosts, servers(serverCount)).shareOf(server, perSecond));
    }
    return made;
}
}
;

TEST(LimitShares, togetherAreTheLimit)
{
    for (const auto count : {1U, 2U, 12U, 79U, 295U}) {
        for (const auto perSecond : {0.5, 1.0, 4.2, 60.0, 1'000.0}) {
            const auto made = shares(hosts(count, 3), 12, 5, perSecond);
            DOUBLES_EQUAL(perSecond, std::accumulate(made.begin(), made.end(), 0.0), 1e-9);
        }
    }
}

TEST(LimitShares, followTheDemandAndLeaveAHostWithoutDemandALittle)
{
    auto fleet = hosts(3, 10);
    fleet[1].perSecond = 30;
    fleet[2].perSecond = 0;
    const auto made = shares(fleet, 1, 1, 10);
    DOUBLES_EQUAL(3 * made[0], made[1], 1e-9);
    CHECK_TRUE(made[2] > 0 && made[2] < made[0] / 3);
}

TEST(LimitShares, aHostThatHasNotReportedCountsAsAnAverageOne)
{
    auto fleet = hosts(3, 10);
    fleet[1].perSecond = 20;
    fleet[2].perSecond = std::nullopt;
    DOUBLES_EQUAL(10.0 / 3, shares(fleet, 1, 1, 10)[2], 1e-9);
}

TEST(LimitShares, aServerWithALowLimitIsLeftToAGroupOfHosts)
{
    const auto made = shares(hosts(295, 5), 104, 40, 4.0);
    CHECK_EQUAL(6, std::ranges::count_if(made, [](double share) { return share > 0; }));
}

TEST(LimitShares, eachHostHasAShareOfSomeServer)
{
    for (const auto serverCount : {1U, 8U, 104U}) {
        const auto fleet = hosts(295, 5);
        for (const auto& host : fleet) {
            const auto made = LimitShares(host.host, fleet, servers(serverCount));
            auto total = 0.0;
            for (const auto server : servers(serverCount)) {
                total += made.shareOf(server, 2.0);
            }
            CHECK_TRUE(total > 0);
        }
    }
}

TEST_GROUP(LimitBuckets)
{
    LimitBuckets buckets{1};
    Instant start{Milliseconds(100'000)};
};

TEST(LimitBuckets, allowTheShareAndOneRequestAtOnce)
{
    auto sent = 0;
    for (auto time = 0; time < 10'000; time += 10) {
        const auto now = start + Milliseconds(time);
        while (buckets.hasToken(7, 1.5, now)) {
            buckets.take(7);
            ++sent;
        }
    }
    CHECK_TRUE(sent >= 14 && sent <= 16);
    // Nothing is saved up beyond one request.
    const auto later = start + Milliseconds(60'000);
    CHECK_TRUE(buckets.hasToken(7, 1.5, later));
    buckets.take(7);
    CHECK_FALSE(buckets.hasToken(7, 1.5, later));
    CHECK_EQUAL(667, buckets.timeToToken(7, 1.5, later)->count());
}

TEST(LimitBuckets, withoutAShareThereIsNoToken)
{
    CHECK_FALSE(buckets.hasToken(7, 0, start));
    CHECK_FALSE(buckets.timeToToken(7, 0, start).has_value());
}
