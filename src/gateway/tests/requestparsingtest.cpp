#include "gateway/requestparsing.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::gateway;
using laburnummill::framework::HttpRequest;
using laburnummill::framework::Milliseconds;

TEST_GROUP(RequestParsing)
{
    HttpRequest request{"POST", "/v1/programs/dc-1.abc/calls", {}, {}, R"({"call":"c1","turn":1,"route":"assistant","body":{}})"};

    auto errorOf()->std::error_code
    {
        return parseCallerRequest(request).error();
    }
};

TEST(RequestParsing, parsesAProgramCall)
{
    const auto parsed = parseCallerRequest(request);
    const auto& call = std::get<ProgramCallRequest>(parsed.value());
    STRCMP_EQUAL("dc-1.abc", call.program.c_str());
    STRCMP_EQUAL("c1", call.call.c_str());
    LONGS_EQUAL(1, call.turn);
    CHECK_FALSE(call.stream);
}

TEST(RequestParsing, rejectsMalformedBodies)
{
    request.body = "{\"call\":";
    CHECK_TRUE(errorOf() == GatewayError::BodyNotJson);
    request.body = "[]";
    CHECK_TRUE(errorOf() == GatewayError::BodyNotJson);
    request.body = R"({"call":"c1","turn":1,"body":{}})";
    CHECK_TRUE(errorOf() == GatewayError::FieldMissing);
    request.body = R"({"call":"c1","turn":0,"route":"assistant","body":{}})";
    CHECK_TRUE(errorOf() == GatewayError::FieldInvalid);
    request.body = R"({"call":"c1","turn":1,"route":"assistant","body":[]})";
    CHECK_TRUE(errorOf() == GatewayError::FieldInvalid);
    request.body = R"({"call":"c 1","turn":1,"route":"assistant","body":{}})";
    CHECK_TRUE(errorOf() == GatewayError::FieldInvalid);
    request.body = R"({"call":"c1","turn":1,"route":"assistant","body":{},"stream":"yes"})";
    CHECK_TRUE(errorOf() == GatewayError::FieldInvalid);
}

TEST(RequestParsing, distinguishesUnknownPathsFromWrongMethods)
{
    request.path = "/v2/programs";
    CHECK_TRUE(errorOf() == GatewayError::PathUnknown);
    request.path = "/v1/chat/completions";
    request.method = "GET";
    CHECK_TRUE(errorOf() == GatewayError::MethodNotAllowed);
}

TEST(RequestParsing, findsTheKeyInEitherHeader)
{
    request.headers["authorization"] = "Bearer secret";
    STRCMP_EQUAL("secret", std::string(presentedKey(request)).c_str());
    request.headers.clear();
    request.headers["x-api-key"] = "other";
    STRCMP_EQUAL("other", std::string(presentedKey(request)).c_str());
}

TEST(RequestParsing, boundsTheRequestedTimeout)
{
    request.headers["X-Timeout-Ms"] = "250";
    CHECK_TRUE(requestedTimeout(request) == Milliseconds(250));
    request.headers["X-Timeout-Ms"] = "99999999999";
    CHECK_TRUE(requestedTimeout(request) == Milliseconds(600'000));
    request.headers["X-Timeout-Ms"] = "-5";
    CHECK_TRUE(requestedTimeout(request) == Milliseconds(60'000));
}
