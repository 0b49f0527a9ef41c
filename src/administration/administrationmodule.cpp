#include "administration/administrationmodule.h"

#include "administration/internal/operatorhandler.h"

namespace laburnummill::administration {

AdministrationModule::AdministrationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
{}

AdministrationModule::~AdministrationModule() = default;

auto AdministrationModule::imports() const -> std::vector<std::string_view>
{
    return {configuration::IConfiguration::s_serviceName,
            configuration::IConfigurationHistory::s_serviceName,
            configuration::IDrains::s_serviceName,
            accounts::IKeys::s_serviceName,
            calls::IOutcomes::s_serviceName,
            calls::IQuarantine::s_serviceName,
            programs::IPrograms::s_serviceName,
            reporting::IReport::s_serviceName,
            gossip::IConfirmations::s_serviceName,
            coordination::IMembership::s_serviceName,
            framework::IStateDump::s_serviceName,
            framework::Metrics::s_serviceName,
            gateway::IReadiness::s_serviceName,
            platform::ITableService::s_serviceName,
            framework::IClock::s_serviceName};
}

auto AdministrationModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = AdministrationServices();
    BOOST_OUTCOME_TRY(services.configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(services.history, registry.resolve<configuration::IConfigurationHistory>());
    BOOST_OUTCOME_TRY(services.drains, registry.resolve<configuration::IDrains>());
    BOOST_OUTCOME_TRY(services.keys, registry.resolve<accounts::IKeys>());
    BOOST_OUTCOME_TRY(services.outcomes, registry.resolve<calls::IOutcomes>());
    BOOST_OUTCOME_TRY(services.quarantine, registry.resolve<calls::IQuarantine>());
    BOOST_OUTCOME_TRY(services.programs, registry.resolve<programs::IPrograms>());
    BOOST_OUTCOME_TRY(services.report, registry.resolve<reporting::IReport>());
    BOOST_OUTCOME_TRY(services.confirmations, registry.resolve<gossip::IConfirmations>());
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(services.dump, registry.resolve<framework::IStateDump>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(services.readiness, registry.resolve<gateway::IReadiness>());
    BOOST_OUTCOME_TRY(auto tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(auto clock, registry.resolve<framework::IClock>());
    services.operators = std::make_shared<Operators>(tables, m_settings.operators.firstKeySha256);
    services.audit = std::make_shared<AuditLog>(std::move(tables), std::move(clock));
    m_handler = std::make_shared<OperatorHandler>(std::move(services));
    m_server = std::make_shared<framework::HttpServer>(m_executor, *m_handler, framework::HttpServerLimits());
    return framework::success();
}

auto AdministrationModule::start() -> framework::AsyncResult<void>
{
    co_return m_server->listen(m_settings.operators.listen);
}

auto AdministrationModule::stop() -> framework::Async<void>
{
    co_await m_server->stop(m_settings.stopTimeout);
}

} // namespace laburnummill::administration
