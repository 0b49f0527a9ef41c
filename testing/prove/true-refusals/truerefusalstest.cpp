#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

using laburnummill::framework::HttpResponse;
using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::waitUntil;

namespace {

constexpr auto s_service = "service-dc-1-1";
constexpr auto s_host = "entry-dc-1-1";

auto ranOf(const HttpResponse& response) -> std::string
{
    const auto body = laburnummill::framework::parseJson(response.body).value_or(Json::object());
    return body.is_object() ? body.value("error", Json::object()).value("ran", std::string()) : std::string();
}

} // namespace

TEST_GROUP(TrueRefusals)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 1, 1, 1}};

    /// Sends a deposit; as long as its account is above its rate it is sent again, as callers do.
    auto charge(const std::string& key)->HttpResponse
    {
        auto response = HttpResponse();
        waitUntil([&] {
            response = fleet.caller(s_host).request("POST", "/v1/calls/deposit", {{"for", key}}, {{"Idempotency-Key", key}});
            return response.status != 429;
        });
        return response;
    }

    auto hasCharged(const std::string& key)->bool
    {
        return fleet.fake(s_service).get("/runs").body.find("\\\"" + key + "\\\"") != std::string::npos;
    }
};

TEST(TrueRefusals, thePlatformIsDown)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults("platform", {{"down", true}});
    STRCMP_EQUAL("no", ranOf(charge("no-store")).c_str());
    CHECK_FALSE(hasCharged("no-store"));
    fleet.setFaults("platform", {{"down", false}});
    LONGS_EQUAL(200, charge("no-store").status);
    CHECK_TRUE(hasCharged("no-store"));
}

TEST(TrueRefusals, theServiceRefuses)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"down", true}});
    STRCMP_EQUAL("no", ranOf(charge("overload")).c_str());
    CHECK_FALSE(hasCharged("overload"));

    // What surely did not run may be sent again, and runs then.
    fleet.setFaults(s_service, {{"down", false}});
    LONGS_EQUAL(200, charge("overload").status);
    CHECK_TRUE(hasCharged("overload"));
}

TEST(TrueRefusals, theServiceLosesItsAnswer)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"loseAnswers", 1}});
    STRCMP_EQUAL("unknown", ranOf(charge("lost")).c_str());
    CHECK_TRUE(hasCharged("lost"));
    STRCMP_EQUAL("unknown", ranOf(charge("lost")).c_str());
}

TEST(TrueRefusals, theServiceAnswersAnotherRequest)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"crossAnswers", 1}});
    const auto crossed = charge("crossed");
    CHECK_TRUE(crossed.status != 200);
    STRCMP_EQUAL("unknown", ranOf(crossed).c_str());
}

TEST(TrueRefusals, theServiceIsGone)
{
    CHECK_TRUE(fleet.startAll());
    fleet.fakeProcess(s_service).kill();
    STRCMP_EQUAL("no", ranOf(charge("gone")).c_str());
}
