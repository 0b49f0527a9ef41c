#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::TestCaller;
using laburnummill::testing::waitUntil;

namespace {

constexpr auto s_drained = "engine-dc-1-1";
constexpr auto s_remaining = "engine-dc-1-2";
constexpr auto s_callsAfter = 20;

auto modelCall() -> Json
{
    const auto message = Json{{"role", "user"}, {"content", "slate for a roof"}};
    return {{"call", "match"}, {"turn", 1}, {"route", "assistant"}, {"body", {{"messages", Json::array({message})}}}};
}

auto isRefusalToTryAgain(const laburnummill::framework::HttpResponse& response) -> bool
{
    const auto error = Json::parse(response.body, nullptr, false).value("error", Json::object());
    return response.status >= 400 && error.value("retry", false) && error.value("ran", std::string()) == "no";
}

/// The answer to a post, sent again as long as it is refused with the word that it did not run and may be tried again.
auto postWithinRate(const TestCaller& caller, const std::string& path, const Json& body) -> laburnummill::framework::HttpResponse
{
    auto response = laburnummill::framework::HttpResponse();
    waitUntil([&] {
        response = caller.post(path, body);
        return !isRefusalToTryAgain(response);
    });
    return response;
}

auto callOnce(const TestCaller& caller) -> unsigned
{
    const auto started = postWithinRate(caller, "/v1/programs", Json::object());
    const auto program = Json::parse(started.body, nullptr, false).value("program", std::string());
    return postWithinRate(caller, "/v1/programs/" + program + "/calls", modelCall()).status;
}

} // namespace

TEST_GROUP(DrainedBackend)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 2, 2, 1}};

    auto received(const std::string& engine)->std::size_t
    {
        return Json::parse(fleet.fake(engine).get("/received").body).size();
    }

    auto drain()->bool
    {
        const auto administration = fleet.operatorOf("entry-dc-1-1");
        auto configuration = Json::parse(administration.get("/admin/v1/configuration").body);
        const auto version = configuration.value("version", 0);
        for (auto& server : configuration["backendServers"]) {
            server["drained"] = server["name"] == s_drained;
        }
        return administration.put("/admin/v1/configuration", {{"expected", version}, {"configuration", configuration}}).status == 200;
    }

    /// Whether every host knows of the drain.
    auto isDrainedEverywhere()->bool
    {
        const auto hosts = fleet.hosts();
        return std::ranges::all_of(hosts, [this](const auto& host) {
            const auto configuration = Json::parse(fleet.operatorOf(host).get("/admin/v1/configuration").body);
            const auto& servers = configuration["backendServers"];
            return std::ranges::any_of(servers,
                                       [](const auto& server) { return server["name"] == s_drained && server["drained"] == true; });
        });
    }
};

TEST(DrainedBackend, aDrainedBackEndEndsWhatItRunsAndGetsNothingNew)
{
    CHECK_TRUE(fleet.startAll());
    const auto caller = fleet.caller("entry-dc-1-1");

    // A call runs on the engine while it is drained, and ends well.
    fleet.setFaults(s_drained, {{"delayMs", 3'000}});
    fleet.setFaults(s_remaining, {{"delayMs", 3'000}});
    const auto before = received(s_drained);
    auto statuses = std::vector<unsigned>(4);
    auto threads = std::vector<std::thread>();
    for (auto& status : statuses) {
        threads.emplace_back([&status, caller] { status = callOnce(caller); });
    }
    CHECK_TRUE(waitUntil([&] { return received(s_drained) > before; }));
    CHECK_TRUE(drain());
    CHECK_TRUE(waitUntil([&] { return isDrainedEverywhere(); }));
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto status : statuses) {
        LONGS_EQUAL(200, status);
    }

    // From then on it gets nothing, through whichever host calls enter.
    fleet.setFaults(s_remaining, {{"delayMs", 0}});
    const auto atDrain = received(s_drained);
    for (auto number = 0; number < s_callsAfter; ++number) {
        LONGS_EQUAL(200, callOnce(fleet.caller(number % 2 == 0 ? "entry-dc-1-1" : "entry-dc-1-2")));
    }
    LONGS_EQUAL(atDrain, received(s_drained));
}
