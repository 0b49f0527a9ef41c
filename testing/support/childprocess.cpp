#include "testing/support/childprocess.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <utility>

namespace laburnummill::testing {

namespace {

constexpr auto s_logMode = 0644;
constexpr auto s_signalOffset = 128;
constexpr auto s_hexadecimal = 16;
constexpr auto s_kibibytesPerMebibyte = 1'024.0;

auto exitCode(int status) -> int
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : s_signalOffset + WTERMSIG(status);
}

} // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    auto words = std::vector<std::string>{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto pointers = std::vector<char*>();
    for (auto& word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);

    auto actions = posix_spawn_file_actions_t();
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, s_logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A socket that the parent closes would stay open in the child, and its peer would not see its end.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawn(&m_id, program.c_str(), &actions, nullptr, pointers.data(), environ) != 0) {
        m_id = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
{}

auto ChildProcess::operator=(ChildProcess&& other) noexcept -> ChildProcess&
{
    kill();
    m_id = std::exchange(other.m_id, -1);
    return *this;
}

auto ChildProcess::isRunning() -> bool
{
    return m_id > 0 && !ended();
}

auto ChildProcess::ended() -> std::optional<int>
{
    auto status = 0;
    if (m_id <= 0 || waitpid(m_id, &status, WNOHANG) != m_id) {
        return std::nullopt;
    }
    m_id = -1; // The number may be another process's soon.
    return exitCode(status);
}

auto ChildProcess::handles(int signal) const -> bool
{
    auto status = std::ifstream(fmt::format("/proc/{}/status", m_id));
    auto line = std::string();
    auto masks = std::uint64_t{0};
    while (std::getline(status, line)) {
        if (line.starts_with("SigBlk:") || line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
            masks |= std::stoull(line.substr(line.find(':') + 1), nullptr, s_hexadecimal);
        }
    }
    return (masks >> static_cast<unsigned>(signal - 1) & 1U) != 0;
}

auto ChildProcess::peakMegabytes() const -> double
{
    auto status = std::ifstream(fmt::format("/proc/{}/status", m_id));
    auto line = std::string();
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stod(line.substr(line.find(':') + 1)) / s_kibibytesPerMebibyte;
        }
    }
    return 0;
}

auto ChildProcess::send(int signal) -> void
{
    if (m_id > 0) {
        ::kill(m_id, signal);
    }
}

auto ChildProcess::terminate() -> int
{
    send(SIGTERM);
    return wait();
}

auto ChildProcess::kill() -> void
{
    if (m_id > 0) {
        send(SIGKILL);
        wait();
    }
}

auto ChildProcess::wait() -> int
{
    if (m_id <= 0) {
        return -1;
    }
    auto status = 0;
    waitpid(m_id, &status, 0);
    m_id = -1;
    return exitCode(status);
}

} // namespace laburnummill::testing
