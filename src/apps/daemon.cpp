#include "apps/daemon.h"

#include "accounts/accountsmodule.h"
#include "administration/administrationmodule.h"
#include "backends/backendsmodule.h"
#include "calls/callsmodule.h"
#include "configuration/configurationmodule.h"
#include "coordination/coordinationmodule.h"
#include "framework/dump/istatedump.h"
#include "framework/global/errorcategory.h"
#include "framework/global/systemclock.h"
#include "framework/logging/log.h"
#include "framework/metrics/metrics.h"
#include "gateway/gatewaymodule.h"
#include "gossip/gossipmodule.h"
#include "platform/platformmodule.h"
#include "programs/programsmodule.h"
#include "reporting/reportingmodule.h"
#include "scheduling/schedulingmodule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace laburnummill::apps {

using framework::Async;
using framework::logEvent;
using framework::LogLevel;
using framework::success;

Daemon::Daemon(framework::DaemonSettings settings, bool embedded)
    : m_settings(std::move(settings))
    , m_embedded(embedded)
{}

auto Daemon::registerFramework() -> framework::Result<void>
{
    auto& registry = m_kernel.registry();
    m_peers = std::make_shared<framework::GrpcPeers>(m_context.get_executor(), m_settings.peers.advertise);
    for (const auto& peer : m_settings.peers.blocked) {
        m_peers->block(peer, true);
    }
    BOOST_OUTCOME_TRYV(registry.add<framework::IPeers>(m_peers));
    BOOST_OUTCOME_TRYV(registry.add<framework::IClock>(std::make_shared<framework::SystemClock>()));
    BOOST_OUTCOME_TRYV(registry.add<framework::Metrics>(std::make_shared<framework::Metrics>()));
    return registry.add<framework::IStateDump>(std::make_shared<framework::StateDump>());
}

auto Daemon::assemble() -> framework::Result<void>
{
    BOOST_OUTCOME_TRYV(registerFramework());
    const auto executor = m_context.get_executor();
    m_kernel.provide({framework::IPeers::s_serviceName, framework::IClock::s_serviceName, framework::Metrics::s_serviceName,
                      framework::IStateDump::s_serviceName});
    m_kernel.add(std::make_unique<platform::PlatformModule>(executor, m_settings, m_embedded));
    m_kernel.add(std::make_unique<coordination::CoordinationModule>(executor, m_settings));
    m_kernel.add(std::make_unique<gossip::GossipModule>(executor, m_settings));
    m_kernel.add(std::make_unique<configuration::ConfigurationModule>(executor, m_settings));
    m_kernel.add(std::make_unique<accounts::AccountsModule>(executor, m_settings));
    m_kernel.add(std::make_unique<backends::BackendsModule>(executor));
    m_kernel.add(std::make_unique<scheduling::SchedulingModule>(executor));
    m_kernel.add(std::make_unique<calls::CallsModule>());
    m_kernel.add(std::make_unique<programs::ProgramsModule>(executor, m_settings.stopTimeout));
    m_kernel.add(std::make_unique<reporting::ReportingModule>(executor, m_settings));
    m_kernel.add(std::make_unique<gateway::GatewayModule>(executor, m_settings));
    m_kernel.add(std::make_unique<administration::AdministrationModule>(executor, m_settings));
    auto culprit = std::string();
    const auto assembled = m_kernel.assemble(culprit);
    if (!assembled) {
        logEvent(LogLevel::Error, "daemon", "assembly_failed", {{"error", framework::codeOf(assembled.error())}, {"culprit", culprit}});
    }
    return assembled;
}

auto Daemon::main() -> Async<void>
{
    auto signals = framework::asio::signal_set(m_context, SIGTERM, SIGINT);
    const auto started = co_await m_kernel.start();
    if (!started) {
        logEvent(LogLevel::Error, "daemon", "start_failed", {{"error", framework::codeOf(started.error())}});
        m_exitCode = 1;
    } else {
        logEvent(LogLevel::Info, "daemon", "started", {{"host", m_settings.host}, {"dataCentre", m_settings.dataCentre}});
        auto ignored = boost::system::error_code();
        co_await signals.async_wait(framework::asio::redirect_error(framework::asio::use_awaitable, ignored));
        logEvent(LogLevel::Info, "daemon", "stopping");
        co_await m_kernel.stop();
    }
    m_peers->stop();
    m_context.stop();
}

auto Daemon::run() -> int
{
    if (!assemble()) {
        return 1;
    }
    if (const auto listening = m_peers->listen(m_settings.peers.listen); !listening) {
        logEvent(LogLevel::Error, "daemon", "start_failed", {{"error", framework::codeOf(listening.error())}});
        return 1;
    }
    framework::asio::co_spawn(m_context, main(), framework::asio::detached);
    m_context.run();
    logEvent(LogLevel::Info, "daemon", "stopped");
    return m_exitCode;
}

} // namespace laburnummill::apps
