#include "faultsoak/stoprecord.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_askedAt = Instant(std::chrono::seconds(100));
constexpr auto s_grace = Milliseconds(8'000);
constexpr auto s_host = 2;
constexpr auto s_engine = 1;

auto at(int milliseconds) -> Instant
{
    return s_askedAt + Milliseconds(milliseconds);
}

/// A request that a backend server began, cut off without a byte of an answer.
auto cutOff(int sent, int ended) -> AttemptEnd
{
    return {.host = s_host, .sentAt = at(sent), .endedAt = at(ended), .engines = {s_engine}};
}

auto notBegun(int sent, int ended) -> AttemptEnd
{
    return {.host = s_host, .sentAt = at(sent), .endedAt = at(ended), .engines = {}};
}

} // namespace

TEST_GROUP(StopRecord)
{
    StopRecord record{s_grace};

    void setup() override
    {
        record.stopBegan(s_host, s_askedAt);
    }
};

TEST(StopRecord, aRequestThatABackendServerBeganIsAnsweredWhole)
{
    auto answered = cutOff(6'000, 6'100);
    answered.isWhole = true;
    CHECK_FALSE(record.failureOf(answered).has_value());
    CHECK_TRUE(record.failureOf(cutOff(6'000, 6'100)).has_value());
    record.stopEnded(s_host, at(6'050));
    CHECK_TRUE(record.failureOf(cutOff(6'000, 6'100)).has_value());
}

TEST(StopRecord, aRequestMayCrossTheCloseAtOnceAndWithoutAnAnswer)
{
    CHECK_FALSE(record.failureOf(notBegun(6'000, 6'100)).has_value());
    CHECK_TRUE(record.failureOf(notBegun(6'000, 6'300)).has_value());
    auto refusalCut = notBegun(6'000, 6'100);
    refusalCut.hasBegun = true;
    CHECK_TRUE(record.failureOf(refusalCut).has_value());
}

TEST(StopRecord, onlyStopsAreJudged)
{
    CHECK_FALSE(record.failureOf(cutOff(-200, -100)).has_value());
    CHECK_TRUE(record.failureOf(cutOff(-200, 100)).has_value());
    record.stopEnded(s_host, at(5'000));
    CHECK_FALSE(record.failureOf(cutOff(7'000, 7'100)).has_value());
    record.stopBegan(s_host, at(20'000));
    CHECK_TRUE(record.failureOf(cutOff(20'000, 20'100)).has_value());
    auto elsewhere = cutOff(20'000, 20'100);
    elsewhere.host = s_host + 1;
    CHECK_FALSE(record.failureOf(elsewhere).has_value());
}

TEST(StopRecord, faultsOfTheHostTheStoreAndTheServersUsedExcuse)
{
    const auto excuses = [](Place place) {
        auto disturbed = StopRecord(s_grace);
        disturbed.stopBegan(s_host, s_askedAt);
        disturbed.faultBegan(place, at(5'000));
        return !disturbed.failureOf(cutOff(6'000, 6'100)).has_value() && disturbed.excused().size() == 1;
    };
    CHECK_TRUE(excuses({.kind = Place::Kind::Host, .number = s_host}));
    CHECK_TRUE(excuses({.kind = Place::Kind::Store}));
    CHECK_TRUE(excuses({.kind = Place::Kind::Engine, .number = s_engine}));
    CHECK_FALSE(excuses({.kind = Place::Kind::Host, .number = s_host + 1}));
    CHECK_FALSE(excuses({.kind = Place::Kind::Engine, .number = s_engine + 1}));
}

TEST(StopRecord, aFaultExcusesUntilItIsOverForAWhile)
{
    const auto place = Place{.kind = Place::Kind::Host, .number = s_host};
    record.faultBegan(place, at(500));
    record.faultBegan(place, at(600));
    record.faultEnded(place, at(700));
    CHECK_FALSE(record.failureOf(cutOff(6'000, 6'100)).has_value());
    record.faultEnded(place, at(2'000));
    CHECK_FALSE(record.failureOf(cutOff(4'900, 5'100)).has_value());
    CHECK_TRUE(record.failureOf(cutOff(5'100, 5'200)).has_value());
}

TEST(StopRecord, onlyEarlyRequestsMayUseUpTheGracePeriod)
{
    CHECK_FALSE(record.failureOf(cutOff(5'000, 7'100)).has_value()); // Over the route's timeout.
    record = StopRecord(Milliseconds(4'000));
    record.stopBegan(s_host, s_askedAt);
    CHECK_FALSE(record.failureOf(cutOff(2'900, 3'400)).has_value());
    CHECK_TRUE(record.failureOf(cutOff(2'900, 3'200)).has_value());
    CHECK_TRUE(record.failureOf(cutOff(3'100, 3'400)).has_value());
}
