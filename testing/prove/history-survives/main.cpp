#include "testing/support/programdriver.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;

TEST_GROUP(AHistory)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1"}, 3, 1, 1}};
    std::string program;
    std::string owner;
    std::string other;

    auto begin()->void
    {
        CHECK_TRUE(fleet.startAll());
        const auto entry = fleet.caller(fleet.hosts().front());
        CHECK_TRUE(waitUntil([&] {
            program = startProgram(entry);
            return !program.empty();
        }));
        CHECK_TRUE(takeTurnUntilAnswered(entry, program, 1).body.find("reply-to-1") != std::string::npos);
        owner = ownerIn(fleet);
        CHECK_FALSE(owner.empty());
        other = otherThan(fleet, owner);
    }

    auto says(const laburnummill::framework::HttpResponse& response, const std::string& text)->void
    {
        CHECK_TRUE_TEXT(response.body.find(text) != std::string::npos, response.body.c_str());
    }
};

TEST(AHistory, survivesItsOwner)
{
    begin();
    fleet.daemon(owner).kill();
    says(takeTurnUntilAnswered(fleet.caller(other), program, 2), "reply-to-3");

    // A repeat of the first turn gets the first answer from the new owner.
    says(takeTurnUntilAnswered(fleet.caller(other), program, 1), "reply-to-1");
}

TEST(AHistory, goesOnWhileThePlatformIsDown)
{
    begin();
    fleet.setFaults("platform", {{"down", true}});
    const auto held = takeTurnUntilAnswered(fleet.caller(owner), program, 2);
    says(held, "reply-to-3");
    says(held, "\"held\":true");
    says(takeTurnUntilAnswered(fleet.caller(owner), program, 3), "reply-to-5");
    fleet.setFaults("platform", {{"down", false}});
    says(takeTurnUntilAnswered(fleet.caller(other), program, 4), "reply-to-7");
}

TEST(AHistory, survivesItsOwnerAndAnOutageTogether)
{
    begin();
    fleet.setFaults("platform", {{"down", true}});
    says(takeTurnUntilAnswered(fleet.caller(owner), program, 2), "\"held\":true");
    fleet.daemon(owner).kill();
    fleet.setFaults("platform", {{"down", false}});
    says(takeTurnUntilAnswered(fleet.caller(other), program, 3), "reply-to-5");
}
