#include "faultsoak/soakcallers.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

#include <boost/asio/co_spawn.hpp>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::testing;

namespace {

constexpr auto s_patience = std::chrono::seconds(20);

auto smallFleet() -> FleetPlan
{
    const auto build = std::string(LABURNUMMILL_BUILD_FOLDER);
    const auto folder = build + "/faultsoak-logs/checks";
    std::filesystem::create_directories(folder);
    return {.program = build + "/platform/laburnummill-entry", .folder = folder, .hosts = 2, .dataCentres = 1, .engines = 2};
}

} // namespace

/// The real program, and checks that must notice what is brought about here.
TEST_GROUP(SoakChecks)
{
    asio::io_context context;
    Promises promises{{}};
    SoakFleet fleet{context, smallFleet(), promises};
    SoakCallers callers{context, fleet, promises, 1};

    void setup() override
    {
        CHECK_TRUE(until([this] { return isReady(0) && isReady(1); }));
    }

    auto until(const std::function<bool()>& condition)->bool
    {
        const auto deadline = std::chrono::steady_clock::now() + s_patience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    auto finish(asio::awaitable<void> work)->void
    {
        auto isDone = false;
        asio::co_spawn(context, std::move(work), [&isDone](const std::exception_ptr&) { isDone = true; });
        CHECK_TRUE(until([&isDone] { return isDone; }));
    }

    auto isReady(int host)->bool
    {
        auto found = false;
        auto isDone = false;
        asio::co_spawn(context, fleet.isReady(host), [&](const std::exception_ptr&, bool ready) {
            found = ready;
            isDone = true;
        });
        until([&isDone] { return isDone; });
        return found;
    }

    auto isBroken(Promise promise) const->bool
    {
        return std::ranges::any_of(promises.violations(), [promise](const auto& found) { return found.promise == promise; });
    }
};

TEST(SoakChecks, aFleetThatIsWellBreaksNone)
{
    finish(callers.checkRecovery());
    finish(callers.checkDrainedServer());
    finish(callers.checkWithdrawnKey());
    fleet.askToStop(0);
    CHECK_TRUE(until([this] { return fleet.hasStopped(0); }));
    CHECK_TRUE(promises.violations().empty());
}

TEST(SoakChecks, aHostThatDoesNotComeBackIsNoticed)
{
    fleet.kill(0);
    finish(callers.checkRecovery());
    CHECK_TRUE(isBroken(Promise::Recovers));
}

TEST(SoakChecks, aHostThatOutlivesItsGraceIsNoticed)
{
    fleet.signal(0, SIGSTOP);
    fleet.askToStop(0);
    CHECK_TRUE(until([this] { return fleet.hasStopped(0); }));
    CHECK_TRUE(isBroken(Promise::StopsClean));
}

TEST(SoakChecks, aHostThatEndsOtherwiseThanItWasAskedToIsNoticed)
{
    fleet.askToStop(0);
    fleet.signal(0, SIGKILL);
    CHECK_TRUE(until([this] { return fleet.hasStopped(0); }));
    CHECK_TRUE(isBroken(Promise::StopsClean));
}

TEST(SoakChecks, whetherAProcessHandlesASignalIsReadFromItsSignalMasks)
{
    const auto log = std::string(LABURNUMMILL_BUILD_FOLDER) + "/faultsoak-logs/checks/sleep.log";
    auto unprepared = ChildProcess("/bin/sleep", {"20"}, log);
    CHECK_FALSE(unprepared.handles(SIGTERM));
    fleet.askToStop(0);
    CHECK_TRUE(fleet.handledStop(0));
}

TEST(SoakChecks, aHostThatIsAskedToStopAsItIsSpawnedBreaksNone)
{
    for (auto time = 0; time < 5; ++time) {
        fleet.kill(0);
        fleet.start(0, false);
        fleet.askToStop(0);
        CHECK_TRUE(until([this] { return fleet.hasStopped(0); }));
        CHECK_FALSE(isBroken(Promise::StopsClean));
    }
}

TEST(SoakChecks, hostsThatDoNotHearOfADrainOrAWithdrawnKeyAreNoticed)
{
    for (auto host = 0; host < fleet.hosts(); ++host) {
        fleet.storePath(host).setState(PathState::Silent);
    }
    fleet.engine(1).setFault(EngineFault::NotRun); // Each call then goes to the other one, unless its host knows of the drain.
    finish(callers.checkDrainedServer());
    CHECK_TRUE(isBroken(Promise::DrainedServer));
    CHECK_FALSE(isBroken(Promise::OwnAccount));
    fleet.engine(1).setFault(EngineFault::None);
    finish(callers.checkWithdrawnKey());
    CHECK_TRUE(isBroken(Promise::OwnAccount));
}
