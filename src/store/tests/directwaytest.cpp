#include "store/directway.h"

#include "framework/global/manualclock.h"
#include "store/storeerrors.h"

#include <functional>
#include <random>

#include <CppUTest/TestHarness.h>

// What a host concludes of its way to the store from calls to partitions of which some are away.

using namespace laburnummill;
using namespace laburnummill::store;
using framework::Milliseconds;

namespace {

constexpr auto s_partitions = 64;

auto name(int partition) -> std::string
{
    return "t" + std::to_string(partition);
}

auto names() -> std::vector<std::string>
{
    auto all = std::vector<std::string>();
    for (auto each = 0; each < s_partitions; ++each) {
        all.push_back(name(each));
    }
    return all;
}

} // namespace

TEST_GROUP(DirectWay)
{
    framework::ManualClock clock;
    DirectWay way;
    std::function<bool(int)> isAway = [](int) { return false; };
    int callsTried = 0;
    int callsLost = 0;   ///< to partitions that answer, but were not tried
    int momentsLost = 0; ///< ticks at which the way counted as lost
    int moments = 0;

    void setup() override
    {
        clock.advance(Milliseconds(10'000));
        way.succeeded("t0", clock.now());
    }

    auto isSound()->bool
    {
        return way.isSound(clock.now());
    }

    /// One call, unless the partition is avoided.
    auto call(int partition)->void
    {
        if (!way.isUsable(name(partition), clock.now())) {
            callsLost += isAway(partition) ? 0 : 1;
            return;
        }
        ++callsTried;
        if (isAway(partition)) {
            way.failed(name(partition), clock.now());
        } else {
            way.succeeded(name(partition), clock.now());
        }
    }

    /// Calls to partitions drawn at random, as turns make them, `interval` apart, and samples as ReturnProbe takes them.
    auto load(Milliseconds time, Milliseconds interval)->void
    {
        momentsLost = 0;
        moments = 0;
        auto random = std::minstd_rand(7);
        const auto startedAt = clock.now();
        for (auto nextCall = startedAt, nextSample = startedAt; clock.now() < startedAt + time;) {
            clock.advance(s_tick);
            if (clock.now() >= nextCall) {
                nextCall = clock.now() + interval;
                call(static_cast<int>(random() % s_partitions));
            }
            if (clock.now() >= nextSample && !way.hasSucceededSince(clock.now() - Milliseconds(250))) {
                nextSample = clock.now() + Milliseconds(100);
                for (const auto& partition : way.partitionsToTry(all, clock.now())) {
                    sample(partition);
                }
            }
            ++moments;
            momentsLost += isSound() ? 0 : 1;
        }
    }

    auto sample(const std::string& partition)->void
    {
        if (isAway(std::stoi(partition.substr(1)))) {
            way.failed(partition, clock.now());
        } else {
            way.succeeded(partition, clock.now());
        }
        std::erase(all, partition); // The next sample begins with others.
        all.push_back(partition);
    }

    static constexpr auto s_tick = Milliseconds(2);
    std::vector<std::string> all = names();
};

TEST(DirectWay, oneFailureMakesOnlyItsPartitionUnusable)
{
    way.failed("t1", clock.now());
    CHECK_TRUE(isSound());
    CHECK_FALSE(way.isUsable("t1", clock.now()));
    CHECK_TRUE(way.isUsable("t2", clock.now()));

    clock.advance(Milliseconds(251));
    CHECK_TRUE(way.isUsable("t1", clock.now()));
}

TEST(DirectWay, isLostOnceSeveralPartitionsFailWithoutAnAnswer)
{
    for (auto partition = 1; partition < 12; ++partition) {
        way.failed(name(partition), clock.now());
        CHECK_TRUE(isSound());
    }
    way.failed("t12", clock.now());
    CHECK_FALSE(isSound());
    CHECK_FALSE(way.isUsable("t20", clock.now()));
    CHECK_FALSE(way.isProven(clock.now()));

    way.succeeded("t20", clock.now());
    CHECK_TRUE(isSound());
    CHECK_TRUE(way.isUsable("t1", clock.now()));
}

TEST(DirectWay, isInDoubtFromAFailureToTheNextAnswer)
{
    CHECK_FALSE(way.isInDoubt(clock.now()));
    way.failed("t1", clock.now());
    CHECK_FALSE(way.isInDoubt(clock.now()));
    clock.advance(Milliseconds(50));
    CHECK_TRUE(way.isInDoubt(clock.now()));
    way.succeeded("t2", clock.now());
    CHECK_FALSE(way.isInDoubt(clock.now()));
}

TEST(DirectWay, isLostOnceOneCallHasFailedAndNoneIsAnswered)
{
    way.failed("t1", clock.now());
    clock.advance(Milliseconds(1'001));
    CHECK_FALSE(isSound());
}

TEST(DirectWay, staysSoundInAPartialOutageUnderAnyLoad)
{
    const auto cases = std::vector<std::pair<int, int>>{{1, 2}, {1, 200}, {2, 2}, {2, 200}};
    for (const auto& [thirds, interval] : cases) {
        isAway = [thirds = thirds](int partition) { return partition % 3 < thirds; };
        load(Milliseconds(6'000), Milliseconds(interval));
        // Calls that all happen to go to partitions that are away are no proof, and soon refuted by samples.
        CHECK_TRUE(momentsLost * 20 <= moments);
        isAway = [](int) { return false; };
        load(Milliseconds(4'000), Milliseconds(20));
    }
    CHECK_TRUE(callsLost * 50 < callsTried);
}

TEST(DirectWay, isLostInAnOutageOfAllPartitionsUnderAnyLoad)
{
    for (const auto interval : {2, 200}) {
        isAway = [](int) { return true; };
        load(Milliseconds(1'500), Milliseconds(interval));
        CHECK_FALSE(isSound());

        isAway = [](int) { return false; };
        load(Milliseconds(2'500), Milliseconds(interval));
        CHECK_TRUE(isSound());
    }
}

TEST(DirectWay, aStoreThatReturnsInPiecesIsUsedAsFarAsItHas)
{
    isAway = [](int) { return true; };
    load(Milliseconds(3'000), Milliseconds(10));
    CHECK_FALSE(isSound());

    isAway = [](int partition) { return partition >= s_partitions / 4; };
    load(Milliseconds(2'500), Milliseconds(10));
    CHECK_TRUE(momentsLost * 5 <= moments);
    CHECK_TRUE(isSound());
    CHECK_TRUE(way.isUsable("t1", clock.now()));

    isAway = [](int) { return false; };
    load(Milliseconds(2'500), Milliseconds(10));
    for (auto partition = 0; partition < s_partitions; ++partition) {
        CHECK_TRUE(way.isUsable(name(partition), clock.now()));
    }
}

TEST(DirectWay, aPartitionThatFailsBesideOthersThatAnswerFailsForAllHosts)
{
    clock.advance(Milliseconds(1));
    way.failed("t1", clock.now());
    CHECK_FALSE(way.isFailureOfPartition("t1", clock.now()));
    clock.advance(Milliseconds(10));
    way.succeeded("t2", clock.now());
    CHECK_TRUE(way.isFailureOfPartition("t1", clock.now()));
    CHECK_FALSE(way.isFailureOfPartition("t2", clock.now()));

    clock.advance(Milliseconds(501));
    CHECK_FALSE(way.isFailureOfPartition("t1", clock.now()));
}
