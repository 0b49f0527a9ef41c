#include "testing/support/programdriver.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;

TEST_GROUP(EngineMemory)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 3, 1, 1}};

    auto holds(const std::string& program)->bool
    {
        return fleet.fake("engine-dc-1-1").get("/load").body.find(program) != std::string::npos;
    }

    auto begin()->std::string
    {
        CHECK_TRUE(fleet.startAll());
        const auto entry = fleet.caller(fleet.hosts().front());
        auto program = std::string();
        CHECK_TRUE(waitUntil([&] {
            program = startProgram(entry);
            return !program.empty();
        }));
        LONGS_EQUAL(200, takeTurnUntilAnswered(entry, program, 1).status);
        return program;
    }
};

TEST(EngineMemory, isReleasedWhenAProgramEnds)
{
    const auto program = begin();
    CHECK_TRUE(holds(program));
    LONGS_EQUAL(200, fleet.caller(fleet.hosts().back()).request("DELETE", "/v1/programs/" + program).status);
    CHECK_TRUE(waitUntil([&] { return !holds(program); }));
}

TEST(EngineMemory, isReleasedWithoutAnyOrderOfTheOwner)
{
    // The owner dies and the program expires: nobody is left who would order the release.
    fleet.configuration()["programs"]["expiryMs"] = 1'000;
    const auto program = begin();
    const auto owner = ownerIn(fleet);
    if (!owner.empty()) {
        fleet.daemon(owner).kill();
    }
    CHECK_TRUE(waitUntil([&] { return !holds(program); }));
}
