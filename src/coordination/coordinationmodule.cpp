#include "coordination/coordinationmodule.h"

#include "coordination/internal/coordinator.h"
#include "framework/dump/istatedump.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::coordination {

CoordinationModule::CoordinationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
{}

auto CoordinationModule::exports() const -> std::vector<std::string_view>
{
    return {IShards::s_serviceName, IMembership::s_serviceName};
}

auto CoordinationModule::imports() const -> std::vector<std::string_view>
{
    return {framework::IPeers::s_serviceName,     framework::IClock::s_serviceName,   framework::Metrics::s_serviceName,
            framework::IStateDump::s_serviceName, platform::IHostList::s_serviceName, platform::ITableService::s_serviceName};
}

auto CoordinationModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = CoordinatorServices();
    BOOST_OUTCOME_TRY(services.peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(services.tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(services.hosts, registry.resolve<platform::IHostList>());
    BOOST_OUTCOME_TRY(const auto dump, registry.resolve<framework::IStateDump>());
    const auto incarnation = static_cast<std::uint64_t>(framework::unixMilliseconds(services.clock->wallTime()));
    auto self = Member{{m_settings.host, incarnation}, m_settings.dataCentre, m_settings.peers.advertise};
    m_coordinator = std::make_shared<Coordinator>(m_executor, std::move(self), m_settings.peers.seeds, std::move(services));
    m_coordinator->listen();
    dump->add("coordination", [coordinator = m_coordinator] { return coordinator->dump(); });
    BOOST_OUTCOME_TRYV(registry.add<IShards>(m_coordinator));
    return registry.add<IMembership>(m_coordinator);
}

auto CoordinationModule::start() -> framework::AsyncResult<void>
{
    boost::asio::co_spawn(m_executor, m_coordinator->run(), boost::asio::detached);
    boost::asio::co_spawn(m_executor, m_coordinator->watchHosts(), boost::asio::detached);
    co_return framework::success();
}

//! NOTE Modules that own shards depend on this module and are stopped before it, so their shards are handed over already.
auto CoordinationModule::stop() -> framework::Async<void>
{
    co_await m_coordinator->stop();
}

} // namespace laburnummill::coordination
