#include "testing/support/programdriver.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

using namespace laburnummill::testing;

namespace {

constexpr auto s_maxTurns = 6;

} // namespace

TEST_GROUP(ABudget)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 2, 1, 1}};
};

TEST(ABudget, holdsForSubAgentsThatLoopAtOnce)
{
    fleet.configuration()["programs"]["maxTurns"] = s_maxTurns;
    CHECK_TRUE(fleet.startAll());
    const auto entry = fleet.caller(fleet.hosts().front());
    auto root = std::string();
    CHECK_TRUE(waitUntil([&] {
        root = startProgram(entry);
        return !root.empty();
    }));
    auto families = std::vector<std::string>{root, startProgram(entry, root), startProgram(entry, root)};

    // Each of them loops, through different hosts, until it is refused.
    auto answered = std::atomic<int>(0);
    auto refusals = std::atomic<int>(0);
    auto threads = std::vector<std::thread>();
    for (auto index = std::size_t{0}; index < families.size(); ++index) {
        threads.emplace_back([&, index] {
            const auto caller = fleet.caller(fleet.hosts()[index % fleet.hosts().size()]);
            for (auto turn = 1; turn <= s_maxTurns + 1; ++turn) {
                const auto response = takeTurn(caller, families[index], turn);
                if (response.status != 200) {
                    refusals += response.body.find("budget_turns") != std::string::npos ? 1 : 0;
                    return;
                }
                ++answered;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(s_maxTurns, answered.load());
    LONGS_EQUAL(3, refusals.load());
}
