#include "programs/programsmodule.h"

#include "programs/internal/programrouter.h"

namespace laburnummill::programs {

ProgramsModule::ProgramsModule(framework::asio::any_io_executor executor, framework::Milliseconds stopTimeout)
    : m_executor(std::move(executor))
    , m_stopTimeout(stopTimeout)
{}

auto ProgramsModule::exports() const -> std::vector<std::string_view>
{
    return {IPrograms::s_serviceName};
}

auto ProgramsModule::imports() const -> std::vector<std::string_view>
{
    return {platform::ITableService::s_serviceName,       platform::IObjectStore::s_serviceName, calls::ICalls::s_serviceName,
            configuration::IConfiguration::s_serviceName, framework::IClock::s_serviceName,      coordination::IShards::s_serviceName,
            coordination::IMembership::s_serviceName,     framework::IPeers::s_serviceName,      framework::Metrics::s_serviceName,
            framework::IStateDump::s_serviceName,         backends::IBackends::s_serviceName};
}

auto ProgramsModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = ProgramServices();
    BOOST_OUTCOME_TRY(services.tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(services.objects, registry.resolve<platform::IObjectStore>());
    BOOST_OUTCOME_TRY(services.calls, registry.resolve<calls::ICalls>());
    BOOST_OUTCOME_TRY(services.backends, registry.resolve<backends::IBackends>());
    BOOST_OUTCOME_TRY(services.configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(services.shards, registry.resolve<coordination::IShards>());
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(services.peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(const auto stateDump, registry.resolve<framework::IStateDump>());
    m_driver = std::make_shared<OwnerDriver>(m_executor, services);
    m_router = std::make_shared<ProgramRouter>(m_driver, std::move(services));
    stateDump->add("programs", [driver = m_driver] { return driver->dump(); });
    return registry.add<IPrograms>(m_router);
}

auto ProgramsModule::start() -> framework::AsyncResult<void>
{
    m_driver->startLoops();
    m_router->serve();
    co_return framework::success();
}

auto ProgramsModule::stop() -> framework::Async<void>
{
    co_await m_driver->stopLoops(m_stopTimeout);
}

} // namespace laburnummill::programs
