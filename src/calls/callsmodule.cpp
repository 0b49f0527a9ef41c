#include "calls/callsmodule.h"

#include "calls/internal/callrunner.h"
#include "calls/internal/outcomes.h"
#include "coordination/ishards.h"
#include "framework/dump/istatedump.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::calls {

namespace {

constexpr auto s_stopTimeout = framework::Milliseconds(30'000);

/// Services that several objects of the module share.
struct Imports
{
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<CrashTracker> crashes;
    std::shared_ptr<IntentStore> store;
    std::shared_ptr<ExecutorDirectory> executors;
};

auto resolveImports(const framework::ServiceRegistry& registry) -> framework::Result<Imports>
{
    BOOST_OUTCOME_TRY(const auto tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(const auto membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(const auto peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(const auto clock, registry.resolve<framework::IClock>());
    return Imports{peers, clock, std::make_shared<CrashTracker>(tables, membership, peers, clock), std::make_shared<IntentStore>(tables),
                   std::make_shared<ExecutorDirectory>(membership, clock)};
}

auto makeSender(const framework::ServiceRegistry& registry, const Imports& imports) -> framework::Result<std::shared_ptr<RequestSender>>
{
    BOOST_OUTCOME_TRY(auto scheduler, registry.resolve<scheduling::IScheduler>());
    BOOST_OUTCOME_TRY(auto backends, registry.resolve<backends::IBackends>());
    BOOST_OUTCOME_TRY(auto shards, registry.resolve<coordination::IShards>());
    return std::make_shared<RequestSender>(std::move(scheduler), std::move(backends), std::move(shards), imports.crashes);
}

} // namespace

auto CallsModule::exports() const -> std::vector<std::string_view>
{
    return {ICalls::s_serviceName, IOutcomes::s_serviceName, IQuarantine::s_serviceName};
}

auto CallsModule::imports() const -> std::vector<std::string_view>
{
    return {configuration::IConfiguration::s_serviceName,
            scheduling::IScheduler::s_serviceName,
            backends::IBackends::s_serviceName,
            platform::ITableService::s_serviceName,
            coordination::IMembership::s_serviceName,
            coordination::IShards::s_serviceName,
            framework::IPeers::s_serviceName,
            framework::IClock::s_serviceName,
            framework::Metrics::s_serviceName,
            framework::IStateDump::s_serviceName};
}

auto CallsModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(const auto imports, resolveImports(registry));
    BOOST_OUTCOME_TRY(auto configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(const auto sender, makeSender(registry, imports));
    BOOST_OUTCOME_TRY(const auto metrics, registry.resolve<framework::Metrics>());
    m_crashes = imports.crashes;
    m_atMostOnce = std::make_shared<AtMostOnceRunner>(
        AtMostOnceServices{sender, imports.store, imports.executors, imports.peers, imports.clock, metrics});
    BOOST_OUTCOME_TRYV(registerDump(registry));
    BOOST_OUTCOME_TRYV(registry.add<IQuarantine>(m_crashes));
    BOOST_OUTCOME_TRYV(registry.add<IOutcomes>(std::make_shared<Outcomes>(imports.store, imports.executors)));
    return registry.add<ICalls>(std::make_shared<CallRunner>(std::move(configuration), sender, m_atMostOnce, imports.clock));
}

auto CallsModule::registerDump(const framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(const auto dump, registry.resolve<framework::IStateDump>());
    dump->add("calls", [atMostOnce = m_atMostOnce, crashes = m_crashes] {
        auto part = atMostOnce->dump();
        part["quarantined"] = crashes->list().size();
        return part;
    });
    return framework::success();
}

auto CallsModule::start() -> framework::AsyncResult<void>
{
    m_atMostOnce->listen();
    m_crashes->listen();
    framework::asio::co_spawn(
        co_await framework::asio::this_coro::executor, [crashes = m_crashes] { return crashes->refreshUntilStopped(); },
        framework::asio::detached);
    co_return framework::success();
}

auto CallsModule::stop() -> framework::Async<void>
{
    co_await m_atMostOnce->waitUntilIdle(s_stopTimeout);
    m_crashes->stop();
}

} // namespace laburnummill::calls
