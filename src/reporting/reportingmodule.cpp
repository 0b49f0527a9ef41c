#include "reporting/reportingmodule.h"

#include "framework/dump/istatedump.h"
#include "framework/global/asyncqueue.h"
#include "reporting/internal/figurekeeper.h"
#include "reporting/internal/reportbuilder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::reporting {

namespace {

constexpr auto s_flushInterval = framework::Seconds(5);

auto flushLoop(std::shared_ptr<FigureKeeper> figures, std::shared_ptr<bool> running) -> framework::Async<void>
{
    while (*running) {
        co_await framework::sleepFor(s_flushInterval);
        co_await figures->flush();
    }
}

} // namespace

ReportingModule::ReportingModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_running(std::make_shared<bool>(false))
{}

auto ReportingModule::exports() const -> std::vector<std::string_view>
{
    return {IFigures::s_serviceName, IReport::s_serviceName};
}

auto ReportingModule::imports() const -> std::vector<std::string_view>
{
    return {platform::ITableService::s_serviceName, configuration::IConfiguration::s_serviceName,
            configuration::IConfigurationHistory::s_serviceName, framework::IClock::s_serviceName, framework::IStateDump::s_serviceName};
}

auto ReportingModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(auto tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(auto configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(auto history, registry.resolve<configuration::IConfigurationHistory>());
    BOOST_OUTCOME_TRY(auto clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(const auto dump, registry.resolve<framework::IStateDump>());
    m_figures = std::make_shared<FigureKeeper>(m_settings.host, m_settings.dataCentre, tables, std::move(clock));
    dump->add("reporting", [figures = m_figures] { return framework::Json{{"windowsWaiting", figures->waiting()}}; });
    BOOST_OUTCOME_TRYV(registry.add<IFigures>(m_figures));
    return registry.add<IReport>(std::make_shared<ReportBuilder>(std::move(tables), std::move(configuration), std::move(history)));
}

auto ReportingModule::start() -> framework::AsyncResult<void>
{
    *m_running = true;
    boost::asio::co_spawn(m_executor, flushLoop(m_figures, m_running), boost::asio::detached);
    co_return framework::success();
}

auto ReportingModule::stop() -> framework::Async<void>
{
    *m_running = false;
    co_await m_figures->flushAll();
}

} // namespace laburnummill::reporting
