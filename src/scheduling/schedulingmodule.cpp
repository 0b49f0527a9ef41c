#include "scheduling/schedulingmodule.h"

#include "framework/dump/istatedump.h"
#include "framework/global/asyncqueue.h"
#include "scheduling/internal/poolscheduler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::scheduling {

using framework::Async;

namespace {

constexpr auto s_tickInterval = framework::Milliseconds(50);

auto tickLoop(std::shared_ptr<DispatcherHost> host, std::shared_ptr<PoolScheduler> scheduler, std::shared_ptr<bool> running) -> Async<void>
{
    while (*running) {
        host->tick();
        scheduler->tick();
        co_await framework::sleepFor(s_tickInterval);
    }
}

} // namespace

SchedulingModule::SchedulingModule(framework::asio::any_io_executor executor)
    : m_executor(std::move(executor))
    , m_running(std::make_shared<bool>(false))
{}

auto SchedulingModule::exports() const -> std::vector<std::string_view>
{
    return {IScheduler::s_serviceName};
}

auto SchedulingModule::imports() const -> std::vector<std::string_view>
{
    return {configuration::IConfiguration::s_serviceName, coordination::IShards::s_serviceName, coordination::IMembership::s_serviceName,
            backends::IBackends::s_serviceName,           framework::IPeers::s_serviceName,     framework::IClock::s_serviceName,
            framework::IStateDump::s_serviceName};
}

auto SchedulingModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = SchedulingServices();
    BOOST_OUTCOME_TRY(services.configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(services.shards, registry.resolve<coordination::IShards>());
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(services.backends, registry.resolve<backends::IBackends>());
    BOOST_OUTCOME_TRY(services.peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(const auto dump, registry.resolve<framework::IStateDump>());
    m_host = std::make_shared<DispatcherHost>(m_executor, services);
    m_scheduler = std::make_shared<PoolScheduler>(m_executor, services, m_host);
    m_host->serve();
    m_scheduler->serve();
    dump->add("scheduling", [host = m_host] { return host->dump(); });
    return registry.add<IScheduler>(m_scheduler);
}

auto SchedulingModule::start() -> framework::AsyncResult<void>
{
    *m_running = true;
    boost::asio::co_spawn(m_executor, tickLoop(m_host, m_scheduler, m_running), boost::asio::detached);
    co_return framework::success();
}

auto SchedulingModule::stop() -> Async<void>
{
    *m_running = false;
    co_return;
}

} // namespace laburnummill::scheduling
