#pragma once

#include "standins/callerask.h"
#include "standins/enginestandin.h"
#include "standins/storestandin.h"
#include "support/childprocess.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace laburnummill::testing {

/// Limits of an entry host's process.
struct ProcessLimits
{
    int memoryMegabytes = 130;                 ///< as the settings state it
    int descriptors = 8'200;                   ///< as the settings state it
    std::optional<unsigned> systemDescriptors; ///< limit of the system on the process; the test's own without it
};

/// The real program as one process on loopback, with stand-ins of the store and of a backend server on the test's executor.
class EntryProcess
{
public:
    /// Starts the process unless `isStarted` is false; `program` is its path, `folder` that of its settings and its log.
    EntryProcess(std::string program, std::string folder, ProcessLimits limits = {}, bool isStarted = true);

    auto start() -> void;
    auto process() -> ChildProcess& { return *m_process; }
    auto context() -> asio::io_context& { return m_context; }
    auto store() -> StoreStandIn& { return m_store; }
    auto engine() -> EngineStandIn& { return m_engine; }

    auto callerEndpoint() const -> asio::ip::tcp::endpoint { return endpoint(s_callerPort); }
    auto readyEndpoint() const -> asio::ip::tcp::endpoint { return endpoint(s_readyPort); }
    auto peerEndpoint() const -> asio::ip::tcp::endpoint { return endpoint(s_firstPeerPort); }

    /// Replaces a field of the settings, for the next start or reload.
    auto setSetting(const std::string& pointer, const std::string& json) -> void;

    /// Runs the stand-ins until `condition`; false if it did not come true within `patience`.
    auto until(const std::function<bool()>& condition, std::chrono::milliseconds patience = std::chrono::seconds(20)) -> bool;
    auto runFor(std::chrono::milliseconds time) -> void { m_context.run_for(time); }

    /// Waits until the host takes callers.
    auto awaitReady() -> bool;
    auto isReady() -> bool { return readiness() == 200; }
    auto answersReadiness() -> bool { return readiness() != 0; }

    /// Sends a request on a connection of its own and waits for its end.
    auto ask(const Ask& request) -> Got;

    /// Sends `start`, then `block` again and again, until `limit` bytes were sent or the host has closed; returns the bytes sent.
    auto sendWithoutEnd(std::string start, std::string block, std::size_t limit) -> std::size_t;

    /// Waits for the exit code; nullopt if the process runs for longer than `patience`.
    auto exitCode(std::chrono::milliseconds patience) -> std::optional<int>;

    /// Largest resident size of the process since its start, in MiB.
    auto peakMegabytes() const -> double { return m_process->peakMegabytes(); }
    /// Processor time of the process since its start.
    auto processorTime() const -> std::chrono::milliseconds;
    /// What the process wrote since its first start.
    auto log() const -> std::string;
    auto hasLogged(std::string_view event) const -> bool { return log().find("\"" + std::string(event) + "\"") != std::string::npos; }

private:
    /// Status of the readiness probe; 0 without an answer.
    auto readiness() -> unsigned;
    auto endpoint(std::uint16_t port) const -> asio::ip::tcp::endpoint;
    auto exchangeWith(const asio::ip::tcp::endpoint& endpoint, const std::string& text) -> Got;

    static constexpr auto s_firstPeerPort = std::uint16_t{7'101};
    static constexpr auto s_lastPeerPort = std::uint16_t{7'104};
    static constexpr auto s_callerPort = std::uint16_t{7'111};
    static constexpr auto s_readyPort = std::uint16_t{7'112};
    static constexpr auto s_controlPort = std::uint16_t{7'113};

    std::string m_program;
    std::string m_folder;
    ProcessLimits m_limits;
    std::string m_ip;
    asio::io_context m_context;
    StoreStandIn m_store;
    EngineStandIn m_engine;
    std::string m_settings;
    std::optional<ChildProcess> m_process;
};

} // namespace laburnummill::testing
