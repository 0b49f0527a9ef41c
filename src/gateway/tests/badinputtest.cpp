#include "framework/global/digest.h"
#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

using laburnummill::framework::HttpResponse;
using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::s_callerKey;

namespace {

auto chat(bool stream) -> Json
{
    const auto message = Json{{"role", "user"}, {"content", "500 beer mats"}};
    return {{"model", "assistant"}, {"stream", stream}, {"messages", Json::array({message})}};
}

auto codeOf(const HttpResponse& response) -> std::string
{
    const auto body = laburnummill::framework::parseJson(response.body).value_or(Json::object());
    return body.value("error", Json::object()).value("code", std::string());
}

auto ranOf(const HttpResponse& response) -> std::string
{
    return Json::parse(response.body)["error"].value("ran", std::string());
}

} // namespace

TEST_GROUP(BadInput)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 1, 1, 1}};

    void setup() override
    {
        fleet.settings("entry-dc-1-1")["callers"]["maxBodyBytes"] = 10'000;
        CHECK_TRUE(fleet.startAll());
    }
};

TEST(BadInput, receivesTypedErrorsAndTheHostKeepsServing)
{
    const auto caller = fleet.caller("entry-dc-1-1");

    // Requests without a key or with an unknown key are rejected.
    const auto unauthenticated = fleet.caller("entry-dc-1-1", "").post("/v1/programs");
    LONGS_EQUAL(401, unauthenticated.status);
    STRCMP_EQUAL("key_missing", codeOf(unauthenticated).c_str());
    STRCMP_EQUAL("key_unknown", codeOf(fleet.caller("entry-dc-1-1", "wrong").post("/v1/programs")).c_str());

    // Requests with an unknown path, a missing field or an oversize body are rejected.
    STRCMP_EQUAL("path_unknown", codeOf(caller.get("/v1/breweries")).c_str());
    STRCMP_EQUAL("field_missing", codeOf(caller.post("/v1/chat/completions")).c_str());
    auto large = chat(false);
    large["padding"] = std::string(20'000, 'x');
    const auto oversize = caller.post("/v1/chat/completions", large);
    LONGS_EQUAL(413, oversize.status);
    STRCMP_EQUAL("no", ranOf(oversize).c_str());

    // Requests with an unknown route, or without the idempotency key that the route requires, are rejected.
    STRCMP_EQUAL("route_unknown", codeOf(caller.post("/v1/calls/wedding")).c_str());
    const auto withoutIdempotencyKey = caller.post("/v1/calls/deposit", {{"amount", 1}});
    STRCMP_EQUAL("idempotency_key_missing", codeOf(withoutIdempotencyKey).c_str());
    STRCMP_EQUAL("no", ranOf(withoutIdempotencyKey).c_str());

    // The host still serves valid requests.
    LONGS_EQUAL(200, caller.post("/v1/chat/completions", chat(false)).status);
}

TEST(BadInput, chatCompletionsClientsAreServedUnchanged)
{
    const auto caller = fleet.caller("entry-dc-1-1");
    const auto answered = caller.post("/v1/chat/completions", chat(false));
    LONGS_EQUAL_TEXT(200, answered.status, answered.body.c_str());
    const auto completion = Json::parse(answered.body);
    STRCMP_EQUAL("chat.completion", completion["object"].get<std::string>().c_str());
    STRCMP_EQUAL("assistant", completion["choices"][0]["message"]["role"].get<std::string>().c_str());
    CHECK_TRUE(completion["usage"]["completion_tokens"].get<int>() > 0);

    // The streamed chunks form the same text and are followed by the end marker.
    const auto streamed = caller.post("/v1/chat/completions", chat(true)).body;
    auto text = std::string();
    auto position = std::size_t{0};
    while ((position = streamed.find("data: {", position)) != std::string::npos) {
        const auto end = streamed.find("\n\n", position);
        const auto event = Json::parse(streamed.substr(position + 6, end - position - 6));
        text += event["choices"][0]["delta"].value("content", std::string());
        position = end;
    }
    STRCMP_EQUAL(completion["choices"][0]["message"]["content"].get<std::string>().c_str(), text.c_str());
    CHECK_TRUE(streamed.ends_with("data: [DONE]\n\n"));
}

TEST(BadInput, noBackendReceivesAClientKeyFromAnyHeaderOrQuery)
{
    const auto caller = fleet.caller("entry-dc-1-1");
    for (const auto* header : {"X-Api-Key", "X-Program", "X-Request-Id", "Cookie", "X-Fencing-Number", "Proxy-Authorization"}) {
        caller.request("POST", "/v1/chat/completions?key=" + std::string(s_callerKey), chat(false), {{header, s_callerKey}});
        caller.request("POST", "/v1/calls/order-records?key=" + std::string(s_callerKey), Json::object(), {{header, s_callerKey}});
    }
    for (const auto* fake : {"engine-dc-1-1", "service-dc-1-1"}) {
        const auto received = fleet.fake(fake).get("/received").body;
        CHECK_TRUE(received.find("beer mats") != std::string::npos || received.find("/records") != std::string::npos);
        CHECK_TRUE(received.find(s_callerKey) == std::string::npos);
        CHECK_TRUE(received.find(laburnummill::framework::sha256Hex(s_callerKey)) == std::string::npos);
    }
    // The state dump does not contain the key either.
    CHECK_TRUE(fleet.operatorOf("entry-dc-1-1").get("/admin/v1/dump").body.find(s_callerKey) == std::string::npos);
}
