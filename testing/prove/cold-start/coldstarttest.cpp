#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using laburnummill::framework::Json;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::TestCaller;
using laburnummill::testing::waitUntil;

namespace {

constexpr auto s_engine = "engine-dc-1-1";
constexpr auto s_callsEach = 6;

auto modelCall() -> Json
{
    const auto message = Json{{"role", "user"}, {"content", "500 beer mats"}};
    return {{"call", "quote"}, {"turn", 1}, {"route", "assistant"}, {"body", {{"messages", Json::array({message})}}}};
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

auto callOnce(const TestCaller& caller) -> bool
{
    const auto started = postWithinRate(caller, "/v1/programs", Json::object());
    const auto program = Json::parse(started.body, nullptr, false).value("program", std::string());
    return postWithinRate(caller, "/v1/programs/" + program + "/calls", modelCall()).status == 200;
}

/// Calls made at the same moment.
class Callers
{
public:
    Callers(const TestCaller& caller, int amount)
    {
        for (auto number = 0; number < amount; ++number) {
            m_threads.emplace_back([caller, this] { m_answered += callOnce(caller) ? 1 : 0; });
        }
    }

    auto join() -> int
    {
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        return m_answered;
    }

private:
    std::atomic<int> m_answered = 0;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_GROUP(ColdStart)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 2, 1, 1}};

    auto mostAtOnce()->int
    {
        return Json::parse(fleet.fake(s_engine).get("/counts").body).value("mostAtOnce", -1);
    }
};

TEST(ColdStart, aColdBackEndGetsOneRequestAtATimeFromAllHostsTogether)
{
    fleet.setFaults(s_engine, {{"cold", true}, {"delayMs", 150}});
    CHECK_TRUE(fleet.startAll());

    // Both hosts are asked for many at once.
    auto first = Callers(fleet.caller("entry-dc-1-1"), s_callsEach);
    auto second = Callers(fleet.caller("entry-dc-1-2"), s_callsEach);
    LONGS_EQUAL(s_callsEach, first.join());
    LONGS_EQUAL(s_callsEach, second.join());
    LONGS_EQUAL(1, mostAtOnce());

    // One host dies; whichever dispatches now keeps to the bound as well.
    fleet.daemon("entry-dc-1-1").kill();
    auto third = Callers(fleet.caller("entry-dc-1-2"), s_callsEach);
    LONGS_EQUAL(s_callsEach, third.join());
    LONGS_EQUAL(1, mostAtOnce());

    // Warm again, it is given more, but not before it was healthy for a while.
    fleet.setFaults(s_engine, {{"cold", false}});
    CHECK_TRUE(waitUntil([&] { return Callers(fleet.caller("entry-dc-1-2"), 3).join() == 3 && mostAtOnce() > 1; }));
}
