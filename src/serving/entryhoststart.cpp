#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "serving/entryhost.h"

// How a host starts: its addresses and its loops.

namespace laburnummill::serving {

namespace {

using framework::Async;
using framework::LogLevel;
using framework::Milliseconds;

/// Another process may hold an address for as long as it takes to stop, or to end a connection.
constexpr auto s_addressTimeout = Milliseconds(60'000);

} // namespace

auto EntryHost::start() -> void
{
    framework::logEvent(LogLevel::Info, "serving", "started",
                        {{"host", m_settings.host}, {"dataCentre", m_settings.dataCentre}, {"incarnation", m_incarnation}});
    m_storeWatcher.start();
    m_returnProbe.start();
    m_link.start();
    const auto executor = m_context.get_executor();
    framework::spawnLoop(executor, "readiness_address", [this] { return openReadiness(); });
    framework::spawnLoop(executor, "caller_address", [this] { return openCallers(); });
    if (m_metricsServer) {
        framework::spawnLoop(executor, "metrics_address", [this] { return openMetrics(); });
    }
    framework::spawnLoop(executor, "maintenance", [this] { return maintenanceLoop(); });
    framework::spawnLoop(executor, "log", [] { return logLoop(); });
    framework::spawnLoop(executor, "announcement", [this] { return announce(); });
}

auto EntryHost::openReadiness() -> Async<void>
{
    if (const auto error = co_await m_readinessServer.open(s_addressTimeout)) {
        endUnavailable(m_settings.readyAddress, error);
    }
}

auto EntryHost::openCallers() -> Async<void>
{
    if (const auto error = co_await m_callers.open(s_addressTimeout)) {
        endUnavailable(m_settings.callerAddress, error);
    }
}

auto EntryHost::openMetrics() -> Async<void>
{
    // A host serves without it.
    if (const auto error = co_await m_metricsServer->open(std::nullopt)) {
        framework::logEvent(LogLevel::Error, "serving", "metrics_unavailable",
                            {{"address", m_settings.metricsAddress.value_or("")}, {"reason", error.message()}});
    }
}

auto EntryHost::endUnavailable(const std::string& address, const boost::system::error_code& error) -> void
{
    framework::logEvent(LogLevel::Error, "serving", "address_unavailable", {{"address", address}, {"reason", error.message()}});
    m_end = HostEnd::AddressUnavailable;
    m_context.stop();
}

} // namespace laburnummill::serving
