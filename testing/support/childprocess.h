#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace laburnummill::testing {

/// A process that a test has started; ended with the object.
class ChildProcess
{
public:
    /// Starts `program`; standard output and standard error go to `logFile`.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~ChildProcess();

    ChildProcess(ChildProcess&& other) noexcept;
    auto operator=(ChildProcess&& other) noexcept -> ChildProcess&;
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    auto id() const -> pid_t { return m_id; }
    auto isRunning() -> bool;

    /// The exit code as of wait() where the process has ended since, once; does not wait.
    auto ended() -> std::optional<int>;

    /// Whether the process catches, ignores or blocks a signal. Otherwise the signal's default action would end it.
    auto handles(int signal) const -> bool;

    /// Largest resident size since the start, in MiB; 0 if the process has ended.
    auto peakMegabytes() const -> double;

    /// Sends a signal, e.g. SIGSTOP to freeze the process and SIGCONT to let it go on.
    auto send(int signal) -> void;

    /// Asks the process to stop and waits for its exit code.
    auto terminate() -> int;

    /// Ends the process at once.
    auto kill() -> void;

    /// Waits for the process to end; its exit code, or 128 and the signal that ended it.
    auto wait() -> int;

private:
    pid_t m_id = -1;
};

} // namespace laburnummill::testing
