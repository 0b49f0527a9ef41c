#include "platform/names.h"
#include "platform/settingsreader.h"
#include "support/childprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace laburnummill;

/// The real program, whose settings come from a pipe: it waits there until the test provides them.
TEST_GROUP(ProgramStart)
{
    std::string build = LABURNUMMILL_BUILD_FOLDER;
    std::string folder = build + "/faultsoak-logs/start";
    std::string pipe = folder + "/settings";

    void setup() override
    {
        std::filesystem::create_directories(folder);
        std::filesystem::remove(pipe);
        CHECK_EQUAL(0, ::mkfifo(pipe.c_str(), 0600));
        ::setenv(platform::s_settingsVariable, pipe.c_str(), 1);
    }

    auto start() const->testing::ChildProcess
    {
        return testing::ChildProcess(build + "/platform/laburnummill-entry", {}, folder + "/log");
    }

    static auto writeSettings(std::ofstream & file)->void
    {
        file << R"({"node_name":"host-0","zone":"a","ip":"127.0.0.77","seeds":[],"port_range":[7780,7795],"bootstrap":true,
            "listen":{"front":"127.0.0.77:7701","ready":"127.0.0.77:7702","control":"127.0.0.77:7703"},
            "provider":{"address":"127.0.0.77:7704"},"limits":{"memory_mb":100},"bounds":{"grace_s":1}})";
    }

    /// Sends `signal` while the program waits for its settings, then provides them, and a file of them in place of the pipe.
    auto provideSettingsAfter(testing::ChildProcess & program, int signal) const->void
    {
        auto settings = std::ofstream(pipe); // Opens once the program has opened the other end.
        program.send(signal);
        auto file = std::ofstream(pipe + ".json");
        writeSettings(file);
        file.close();
        std::filesystem::rename(pipe + ".json", pipe);
        writeSettings(settings);
    }
};

TEST(ProgramStart, aStopSignalBeforeTheSettingsAreReadStopsTheProgramGracefully)
{
    auto program = start();
    provideSettingsAfter(program, SIGTERM);
    const auto exitCode = program.wait();
    CHECK_EQUAL(0, exitCode);
}

TEST(ProgramStart, aReloadSignalBeforeTheSettingsAreReadDoesNotEndTheProgram)
{
    auto program = start();
    provideSettingsAfter(program, SIGHUP);
    const auto exitCode = program.terminate();
    CHECK_EQUAL(0, exitCode);
}

TEST(ProgramStart, aDescriptorThatTheParentClosesIsNotKeptOpenByAChild)
{
    auto ends = std::array<int, 2>();
    CHECK_EQUAL(0, ::pipe(ends.data()));
    auto child = testing::ChildProcess("/bin/sleep", {"20"}, folder + "/log");
    ::close(ends[1]);
    auto waited = ::pollfd{.fd = ends[0], .events = POLLIN, .revents = 0};
    CHECK_EQUAL(1, ::poll(&waited, 1, 1'000));
    ::close(ends[0]);
}
