#include "routing/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::routing;

namespace {

auto route(std::string name, std::string host, std::string prefix) -> Route
{
    auto made = Route();
    made.name = std::move(name);
    made.hostName = std::move(host);
    made.prefix = std::move(prefix);
    made.services = {{.service = "a", .weight = 1}};
    return made;
}

auto nameOf(const Route* route) -> std::string
{
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_GROUP(RouteTable)
{
    FleetConfiguration configuration;

    void setup() override
    {
        configuration.version = 3;
        configuration.routes = {route("short", "one.example", "/a/"), route("long", "one.example", "/a/b/"),
                                route("other", "two.example", "/a/")};
        configuration.accounts = {{.name = "pub", .keys = {"k1", "k2"}, .ratePerSecond = 5, .burst = 5}};
    }
};

TEST(RouteTable, longestMatchingPrefixOfTheHostWins)
{
    const auto table = RouteTable(configuration);
    CHECK_EQUAL(std::string("long"), nameOf(table.find("one.example", "/a/b/c")));
    CHECK_EQUAL(std::string("short"), nameOf(table.find("one.example", "/a/bc")));
    CHECK_EQUAL(std::string("other"), nameOf(table.find("two.example", "/a/b/c")));
}

TEST(RouteTable, pathWithoutMatchingPrefixHasNoRoute)
{
    const auto table = RouteTable(configuration);
    CHECK_EQUAL(std::string("none"), nameOf(table.find("one.example", "/a")));
    CHECK_EQUAL(std::string("none"), nameOf(table.find("three.example", "/a/")));
}

TEST(RouteTable, findsTheAccountByEachOfItsKeys)
{
    const auto table = RouteTable(configuration);
    CHECK_EQUAL(std::string("pub"), table.accountOfKey("k2")->name);
    CHECK_TRUE(table.accountOfKey("k3") == nullptr);
    CHECK_TRUE(table.accountOfKey("") == nullptr);
}

TEST(RouteTable, splitsRequestsByWeightAndMapsASeedToOneService)
{
    auto split = route("split", "one.example", "/s/");
    split.services = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}};
    auto toB = 0;
    for (auto seed = std::uint64_t{0}; seed < 1'000'000; seed += 1'000) {
        const auto service = RouteTable::chooseService(split, seed);
        CHECK_TRUE(service == RouteTable::chooseService(split, seed));
        toB += service == "b" ? 1 : 0;
    }
    CHECK_EQUAL(100, toB);
}
