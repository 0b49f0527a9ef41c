#include "operatorcli/commandline.h"

#include "framework/global/digest.h"
#include "operatorcli/exitcodes.h"
#include "testing/support/localfleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using laburnummill::framework::Json;
using laburnummill::operatorcli::ExitCode;
using laburnummill::operatorcli::runCommandLine;
using laburnummill::testing::LocalFleet;

namespace {

struct Run
{
    ExitCode code = ExitCode::Done;
    std::string out;
    std::string err;
};

auto runArguments(const std::vector<std::string>& arguments, const std::string& input = {}) -> Run
{
    auto in = std::istringstream(input);
    auto out = std::ostringstream();
    auto err = std::ostringstream();
    const auto code = runCommandLine(arguments, in, out, err);
    return {static_cast<ExitCode>(code), out.str(), err.str()};
}

auto expectCode(ExitCode expected, const Run& result) -> void
{
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.code), (result.out + result.err).c_str());
}

} // namespace

TEST_GROUP(CommandLineArguments){};

TEST(CommandLineArguments, usageErrorsDifferFromFailures)
{
    expectCode(ExitCode::Usage, runArguments({"bake"}));
    expectCode(ExitCode::Usage, runArguments({"status", "--colour", "blue"}));
    expectCode(ExitCode::Usage, runArguments({"keys", "give"}));
    expectCode(ExitCode::Usage, runArguments({"status", "--daemon", "nowhere"}));
    expectCode(ExitCode::Usage, runArguments({"drain"}));
    expectCode(ExitCode::Usage, runArguments({"report", "--from", "yesterday", "--to", "today"}));
    expectCode(ExitCode::Failed, runArguments({"configuration", "apply", "--file", "/does/not/exist"}));
}

TEST(CommandLineArguments, helpListsCommandsAndExitCodes)
{
    const auto help = runArguments({"--help"});
    expectCode(ExitCode::Done, help);
    for (const auto* word : {"questionnaire", "configuration apply", "keys withdraw", "drain", "outcomes resolve", "quarantine release",
                             "report", "exit codes"}) {
        STRCMP_CONTAINS(word, help.out.c_str());
    }
}

TEST(CommandLineArguments, anUnreachableDaemonHasItsOwnExitCode)
{
    const auto port = std::to_string(laburnummill::testing::freePort());
    expectCode(ExitCode::Unreachable, runArguments({"status", "--daemon", "127.0.0.1:" + port}));
}

TEST_GROUP(CommandLine)
{
    LocalFleet fleet{LocalFleet::Shape{{"dc-1", "dc-2"}, 1, 1, 1}};

    void setup() override
    {
        ::setenv("LABURNUMMILL_KEY", laburnummill::testing::s_operatorKey, 1);
        CHECK_TRUE(fleet.startAll());
    }

    void teardown() override
    {
        ::unsetenv("LABURNUMMILL_KEY");
    }

    auto runAt(const std::string& host, std::vector<std::string> arguments)->Run
    {
        arguments.push_back("--daemon");
        arguments.push_back(fleet.settings(host)["operators"]["listen"].get<std::string>());
        return runArguments(arguments);
    }
};

TEST(CommandLine, anOperatorQueriesAndChangesTheFleet)
{
    // The status shows both data centres.
    const auto status = runAt("entry-dc-1-1", {"status"});
    expectCode(ExitCode::Done, status);
    STRCMP_CONTAINS("dc-2", status.out.c_str());

    // A key issued in one data centre is valid in the other as soon as it is confirmed.
    const auto issued = runAt("entry-dc-1-1", {"keys", "give", "--account", "brewery"});
    expectCode(ExitCode::Done, issued);
    const auto keyStart = issued.out.find("lm-");
    CHECK_TRUE(keyStart != std::string::npos);
    const auto key = issued.out.substr(keyStart, issued.out.find('\n', keyStart) - keyStart);
    LONGS_EQUAL(201, fleet.caller("entry-dc-2-1", key).post("/v1/programs").status);

    // After its withdrawal the other data centre rejects it.
    expectCode(ExitCode::Done, runAt("entry-dc-1-1", {"keys", "withdraw", "--hash", laburnummill::framework::sha256Hex(key)}));
    LONGS_EQUAL(401, fleet.caller("entry-dc-2-1", key).post("/v1/programs").status);

    // The status marks a drained data centre.
    expectCode(ExitCode::Done, runAt("entry-dc-1-1", {"drain", "--data-centre", "dc-2"}));
    STRCMP_CONTAINS("DRAINED", runAt("entry-dc-2-1", {"status"}).out.c_str());

    // The audit log lists the change.
    STRCMP_CONTAINS("drain dataCentre dc-2: done", runAt("entry-dc-1-1", {"audit"}).out.c_str());
}

TEST(CommandLine, ofTwoConcurrentChangesTheSecondReportsAConflict)
{
    const auto path = std::string(::getenv("TMPDIR") == nullptr ? "/tmp" : ::getenv("TMPDIR")) + "/laburnummill-race.json";
    auto document = Json::parse(runAt("entry-dc-1-1", {"configuration", "show"}).out);
    std::ofstream(path) << document.dump();
    expectCode(ExitCode::Done, runAt("entry-dc-1-1", {"configuration", "apply", "--file", path}));
    const auto conflicting = runAt("entry-dc-2-1", {"configuration", "apply", "--file", path});
    expectCode(ExitCode::Conflict, conflicting);
    STRCMP_CONTAINS("currentVersion", conflicting.err.c_str());
}

TEST(CommandLine, aRejectedKeyChangesNothing)
{
    ::setenv("LABURNUMMILL_KEY", "not-a-key", 1);
    expectCode(ExitCode::KeyRejected, runAt("entry-dc-1-1", {"drain", "--data-centre", "dc-2"}));
    ::setenv("LABURNUMMILL_KEY", laburnummill::testing::s_operatorKey, 1);
    CHECK_TRUE(runAt("entry-dc-1-1", {"status"}).out.find("DRAINED") == std::string::npos);
}

TEST(CommandLine, rolesAndTeamsAreEnforced)
{
    const auto issued = runAt("entry-dc-1-1", {"operators", "give", "--name", "night-watch", "--role", "viewer", "--team", "slate"});
    expectCode(ExitCode::Done, issued);
    const auto keyStart = issued.out.find("lm-operator-");
    ::setenv("LABURNUMMILL_KEY", issued.out.substr(keyStart, issued.out.find('\n', keyStart) - keyStart).c_str(), 1);

    expectCode(ExitCode::Done, runAt("entry-dc-1-1", {"status"}));
    expectCode(ExitCode::KeyRejected, runAt("entry-dc-1-1", {"stop"}));
    expectCode(ExitCode::KeyRejected, runAt("entry-dc-1-1", {"configuration", "show"}));
    CHECK_TRUE(runAt("entry-dc-1-1", {"keys", "list"}).out.empty());
}
