#include "testing/support/localfleet.h"

// NOTE Before the test harness, which redefines new.
#include <future>

#include <CppUTest/TestHarness.h>

using laburnummill::framework::Headers;
using laburnummill::framework::HttpResponse;
using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::waitUntil;

namespace {

constexpr auto s_service = "service-dc-1-1";
constexpr auto s_first = "entry-dc-1-1";
constexpr auto s_second = "entry-dc-1-2";
constexpr auto s_third = "entry-dc-1-3";

auto errorOf(const HttpResponse& response) -> Json
{
    const auto body = laburnummill::framework::parseJson(response.body).value_or(Json::object());
    return body.is_object() ? body.value("error", Json::object()) : Json::object();
}

auto codeOf(const HttpResponse& response) -> std::string
{
    return errorOf(response).value("code", std::string());
}

auto ranOf(const HttpResponse& response) -> std::string
{
    return errorOf(response).value("ran", std::string());
}

} // namespace

TEST_GROUP(DepositOnce)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 3, 1, 1}};

    /// Sends a deposit; as long as its account is above its rate it is sent again, as callers do.
    auto charge(const std::string& host, const std::string& key, const Headers& headers = {})->HttpResponse
    {
        auto all = headers;
        all["Idempotency-Key"] = key;
        auto response = HttpResponse();
        waitUntil([&] {
            response = fleet.caller(host).request("POST", "/v1/calls/deposit", {{"amount", 120}, {"for", key}}, all);
            return response.status != 429;
        });
        return response;
    }

    auto chargeMeanwhile(const std::string& host, const std::string& key)->std::future<HttpResponse>
    {
        return std::async(std::launch::async, [this, host, key] { return charge(host, key); });
    }

    /// How often the service has charged the deposit of `key`.
    auto charges(const std::string& key)->std::int64_t
    {
        auto count = std::int64_t{0};
        const auto runs = laburnummill::framework::parseJson(fleet.fake(s_service).get("/runs").body).value_or(Json::object());
        for (const auto& [run, times] : runs.items()) {
            count += run.find("\"" + key + "\"") == std::string::npos ? 0 : times.get<std::int64_t>();
        }
        return count;
    }
};

TEST(DepositOnce, itsExecutorIsKilledWhileItRuns)
{
    CHECK_TRUE(fleet.startAll());

    // The service has charged, and takes its time to answer; then the host that waits for it dies.
    fleet.setFaults(s_service, {{"delayMs", 3'000}});
    auto lost = chargeMeanwhile(s_first, "killed");
    CHECK_TRUE(waitUntil([&] { return charges("killed") == 1; }));
    fleet.daemon(s_first).kill();
    CHECK_TRUE(lost.get().status != 200);

    // Sent again through others, it is refused, and nobody says that it did not run.
    const auto again = charge(s_second, "killed");
    CHECK_TRUE(again.status != 200);
    CHECK_TRUE(ranOf(again) == "unknown");

    // Once the host is back as another incarnation, the outcome is known to be unknown.
    fleet.start(s_first);
    CHECK_TRUE(waitUntil([&] { return fleet.isReady(s_first); }));
    CHECK_TRUE(waitUntil([&] { return codeOf(charge(s_third, "killed")) == "outcome_unknown"; }));
    STRCMP_EQUAL("outcome_unknown", codeOf(charge(s_first, "killed")).c_str());
    LONGS_EQUAL(1, charges("killed"));
}

TEST(DepositOnce, itIsSentAgainThroughAnotherHostWhileItRuns)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"delayMs", 2'000}});
    auto first = chargeMeanwhile(s_first, "joined");
    CHECK_TRUE(waitUntil([&] { return charges("joined") == 1; }));
    auto answer = HttpResponse();
    CHECK_TRUE(waitUntil([&] {
        answer = charge(s_second, "joined");
        return answer.status == 200;
    }));
    STRCMP_EQUAL(first.get().body.c_str(), answer.body.c_str());
    LONGS_EQUAL(1, charges("joined"));
}

TEST(DepositOnce, theCallerHangsUp)
{
    CHECK_TRUE(fleet.startAll());

    // A caller with little patience is told that the outcome is not known yet; the deposit is charged and recorded all the same.
    fleet.setFaults(s_service, {{"delayMs", 1'500}});
    const auto early = charge(s_first, "left", {{"X-Timeout-Ms", "300"}});
    CHECK_TRUE(early.status != 200);
    CHECK_TRUE(ranOf(early) != "no");
    CHECK_TRUE(waitUntil([&] { return charge(s_second, "left").status == 200; }));
    LONGS_EQUAL(1, charges("left"));
}

TEST(DepositOnce, thePlatformLosesAnswers)
{
    CHECK_TRUE(fleet.startAll());
    for (auto number = 0; number < 20; ++number) {
        const auto key = "lost-" + std::to_string(number);
        fleet.setFaults("platform", {{"loseAnswers", number % 4}});
        auto others = chargeMeanwhile(s_second, key);
        const auto answer = charge(s_first, key);
        const auto other = others.get();
        fleet.setFaults("platform", {{"loseAnswers", 0}});
        auto last = HttpResponse();
        CHECK_TRUE(waitUntil([&] {
            last = charge(s_third, key);
            return last.status == 200;
        }));
        CHECK_TRUE(answer.status != 200 || answer.body == last.body);
        CHECK_TRUE(other.status != 200 || other.body == last.body);
        LONGS_EQUAL(1, charges(key));
    }
}

TEST(DepositOnce, thePlatformGoesDownWhileItRuns)
{
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"delayMs", 1'000}});
    auto first = chargeMeanwhile(s_first, "outage");
    CHECK_TRUE(waitUntil([&] { return charges("outage") == 1; }));
    fleet.setFaults("platform", {{"down", true}});

    // The answer reaches the caller, and its repeats at the same host join it, although it cannot be recorded.
    const auto answer = first.get();
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(answer.body.c_str(), charge(s_first, "outage").body.c_str());

    // Another host cannot know, and sends nothing.
    STRCMP_EQUAL("record_unavailable", codeOf(charge(s_second, "outage")).c_str());

    // With the platform back, every host gives the same answer.
    fleet.setFaults("platform", {{"down", false}});
    auto last = HttpResponse();
    CHECK_TRUE(waitUntil([&] {
        last = charge(s_second, "outage");
        return last.status == 200;
    }));
    STRCMP_EQUAL(answer.body.c_str(), last.body.c_str());
    LONGS_EQUAL(1, charges("outage"));
}

TEST(DepositOnce, theServiceAnswersAfterItsTimeout)
{
    for (auto& route : fleet.configuration()["routes"]) {
        route["timeoutMs"] = 500;
    }
    CHECK_TRUE(fleet.startAll());
    fleet.setFaults(s_service, {{"delayMs", 1'500}});
    const auto late = charge(s_first, "late");
    CHECK_TRUE(late.status != 200);
    STRCMP_EQUAL("unknown", ranOf(late).c_str());
    fleet.setFaults(s_service, {{"delayMs", 0}});
    STRCMP_EQUAL("outcome_unknown", codeOf(charge(s_second, "late")).c_str());
    LONGS_EQUAL(1, charges("late"));
}
