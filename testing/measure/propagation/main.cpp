#include "framework/global/digest.h"
#include "testing/support/localfleet.h"

#include <algorithm>
#include <chrono>
#include <iostream>

using laburnummill::framework::Json;
using laburnummill::framework::parseJson;
using laburnummill::framework::sha256Hex;
using laburnummill::testing::LocalFleet;
using laburnummill::testing::waitUntil;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto s_rounds = std::uint64_t{5};
constexpr auto s_configurationBoundSeconds = 4.0;
constexpr auto s_ok = 200U;
constexpr auto s_unauthenticated = 401U;

auto secondsSince(Clock::time_point start) -> double
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

auto onAll(const LocalFleet& fleet, const std::function<bool(const std::string&)>& holds) -> bool
{
    return waitUntil([&] {
        const auto hosts = fleet.hosts();
        return std::ranges::all_of(hosts, holds);
    });
}

/// Seconds from the request until each daemon has the version; negative where that never came.
auto changeConfiguration(LocalFleet& fleet, const std::string& host, std::uint64_t expected) -> double
{
    const auto sent = Clock::now();
    const auto body = Json{{"expected", expected}, {"configuration", fleet.configuration()}};
    if (fleet.operatorOf(host).put("/admin/v1/configuration", body).status != s_ok) {
        return -1;
    }
    const auto inForce = [&](const std::string& each) {
        const auto held = parseJson(fleet.operatorOf(each).get("/admin/v1/configuration").body).value_or(Json::object());
        return held.value("version", std::uint64_t{0}) > expected;
    };
    return onAll(fleet, inForce) ? secondsSince(sent) : -1;
}

/// The same for a key that is given, works everywhere and is withdrawn.
auto withdrawKey(LocalFleet& fleet, const std::string& host, const std::string& key) -> double
{
    const auto keys = fleet.operatorOf(host);
    const auto given = Json{{"keyHash", sha256Hex(key)}, {"account", "brewery"}};
    const auto works = [&](const std::string& each) { return fleet.caller(each, key).post("/v1/programs").status / 100 == 2; };
    if (keys.post("/admin/v1/keys", given).status != s_ok || !onAll(fleet, works)) {
        return -1;
    }
    const auto sent = Clock::now();
    if (keys.request("DELETE", "/admin/v1/keys/" + sha256Hex(key)).status != s_ok) {
        return -1;
    }
    const auto refused = [&](const std::string& each) { return fleet.caller(each, key).post("/v1/programs").status == s_unauthenticated; };
    return onAll(fleet, refused) ? secondsSince(sent) : -1;
}

} // namespace

auto main() -> int
{
    auto fleet = LocalFleet(LocalFleet::Shape{{"dc-1", "dc-2", "dc-3"}, 4, 0, 0});
    if (!fleet.startAll()) {
        std::cerr << "the daemons did not become ready\n";
        return 1;
    }
    const auto hosts = fleet.hosts();
    auto configurationMax = 0.0;
    auto withdrawalMax = 0.0;
    for (auto round = std::uint64_t{1}; round <= s_rounds; ++round) {
        const auto& host = hosts[round % hosts.size()];
        const auto configuration = changeConfiguration(fleet, host, round);
        const auto withdrawal = withdrawKey(fleet, host, "key-" + std::to_string(round));
        std::cout << "round " << round << ": configuration " << configuration << " s, withdrawal " << withdrawal << " s\n";
        if (configuration < 0 || withdrawal < 0) {
            return 1;
        }
        configurationMax = std::max(configurationMax, configuration);
        withdrawalMax = std::max(withdrawalMax, withdrawal);
    }
    std::cout << Json{{"daemons", hosts.size()}, {"configuration_seconds_max", configurationMax}, {"withdrawal_seconds_max", withdrawalMax}}
                     .dump()
              << std::endl;
    return std::max(configurationMax, withdrawalMax) <= s_configurationBoundSeconds ? 0 : 1;
}
