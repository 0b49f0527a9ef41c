#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

using laburnummill::framework::HttpResponse;
using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::TestCaller;
using laburnummill::testing::waitUntil;

namespace {

constexpr auto s_poison = "slate-with-a-curse";
constexpr auto s_hosts = {"entry-dc-1-1", "entry-dc-1-2", "entry-dc-1-3"};
constexpr auto s_engines = {"engine-dc-1-1", "engine-dc-1-2"};

auto ask(const TestCaller& caller, const std::string& text) -> HttpResponse
{
    const auto message = Json{{"role", "user"}, {"content", text}};
    return caller.post("/v1/chat/completions", {{"model", "assistant"}, {"messages", Json::array({message})}});
}

auto codeOf(const HttpResponse& response) -> std::string
{
    const auto body = laburnummill::framework::parseJson(response.body).value_or(Json::object());
    return body.is_object() ? body.value("error", Json::object()).value("code", std::string()) : std::string();
}

} // namespace

TEST_GROUP(CrashingRequest)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 3, 2, 1}};

    /// Requests with the poison that the engines have got.
    auto crashes()->std::size_t
    {
        auto count = std::size_t{0};
        for (const auto* engine : s_engines) {
            const auto received = laburnummill::framework::parseJson(fleet.fake(engine).get("/received").body).value_or(Json::array());
            for (const auto& request : received) {
                count += request.get<std::string>().find(s_poison) == std::string::npos ? 0 : 1;
            }
        }
        return count;
    }

    auto hostsKnowEachOther()->bool
    {
        for (const auto* starter : s_hosts) {
            auto started = HttpResponse();
            if (!waitUntil([&] {
                    started = fleet.caller(starter).post("/v1/programs");
                    return started.status == 201;
                })) {
                return false;
            }
            const auto path = "/v1/programs/" + Json::parse(started.body).value("program", std::string());
            for (const auto* host : s_hosts) {
                if (!waitUntil([&] { return fleet.caller(host).get(path).status == 200; })) {
                    return false;
                }
            }
        }
        return true;
    }
};

TEST(CrashingRequest, isQuarantinedOnAllHostsAfterTwoCrashes)
{
    CHECK_TRUE(fleet.startAll());
    CHECK_TRUE(hostsKnowEachOther());
    for (const auto* engine : s_engines) {
        fleet.setFaults(engine, {{"crashOn", s_poison}});
    }

    // Its caller sends it again and again, through every host.
    for (const auto* host : s_hosts) {
        CHECK_TRUE(waitUntil([&] { return codeOf(ask(fleet.caller(host), s_poison)) == "request_quarantined"; }));
    }
    LONGS_EQUAL(2, crashes());

    // A host that starts later hears of it from the platform.
    CHECK_TRUE(fleet.daemon(*s_hosts.begin()).terminate() == 0);
    fleet.start(*s_hosts.begin());
    CHECK_TRUE(waitUntil([&] { return fleet.isReady(*s_hosts.begin()); }));
    CHECK_TRUE(waitUntil([&] { return codeOf(ask(fleet.caller(*s_hosts.begin()), s_poison)) == "request_quarantined"; }));

    // Others run as ever.
    CHECK_TRUE(waitUntil([&] { return ask(fleet.caller("entry-dc-1-2"), "split slate").status == 200; }));
}
