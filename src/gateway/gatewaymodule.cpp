#include "gateway/gatewaymodule.h"

#include "gateway/internal/callerhandler.h"
#include "gateway/ireadiness.h"

namespace laburnummill::gateway {

using framework::success;

namespace {

class Readiness final : public IReadiness
{
public:
    Readiness(std::shared_ptr<CallerHandler> handler, std::shared_ptr<framework::HttpServer> server)
        : m_handler(std::move(handler))
        , m_server(std::move(server))
    {}

    auto isReady() const -> bool override { return m_handler->isReady(); }
    auto runningRequests() const -> std::size_t override { return m_server->runningRequests(); }

private:
    std::shared_ptr<CallerHandler> m_handler;
    std::shared_ptr<framework::HttpServer> m_server;
};

} // namespace

GatewayModule::GatewayModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
{}

GatewayModule::~GatewayModule() = default;

auto GatewayModule::exports() const -> std::vector<std::string_view>
{
    return {IReadiness::s_serviceName};
}

auto GatewayModule::imports() const -> std::vector<std::string_view>
{
    return {accounts::IKeys::s_serviceName,
            accounts::ILimits::s_serviceName,
            configuration::IConfiguration::s_serviceName,
            programs::IPrograms::s_serviceName,
            calls::ICalls::s_serviceName,
            framework::Metrics::s_serviceName,
            framework::IClock::s_serviceName,
            coordination::IMembership::s_serviceName,
            reporting::IFigures::s_serviceName};
}

auto GatewayModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = CallerServices();
    BOOST_OUTCOME_TRY(services.keys, registry.resolve<accounts::IKeys>());
    BOOST_OUTCOME_TRY(services.limits, registry.resolve<accounts::ILimits>());
    BOOST_OUTCOME_TRY(services.configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(services.programs, registry.resolve<programs::IPrograms>());
    BOOST_OUTCOME_TRY(services.calls, registry.resolve<calls::ICalls>());
    BOOST_OUTCOME_TRY(services.figures, registry.resolve<reporting::IFigures>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    m_handler = std::make_shared<CallerHandler>(std::move(services));
    m_server = std::make_shared<framework::HttpServer>(m_executor, *m_handler, m_settings.callers.limits);
    return registry.add<IReadiness>(std::make_shared<Readiness>(m_handler, m_server));
}

auto GatewayModule::start() -> framework::AsyncResult<void>
{
    if (m_settings.callers.tls) {
        BOOST_OUTCOME_CO_TRYV(m_server->useTls(*m_settings.callers.tls));
    }
    BOOST_OUTCOME_CO_TRYV(m_server->listen(m_settings.callers.listen));
    co_return success();
}

auto GatewayModule::stop() -> framework::Async<void>
{
    m_handler->beginStopping();
    co_await m_server->stop(m_settings.stopTimeout);
}

} // namespace laburnummill::gateway
