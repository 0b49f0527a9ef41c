#include "gossip/gossipmodule.h"

#include "framework/dump/istatedump.h"
#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"
#include "gossip/internal/gossipservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::gossip {

using framework::Async;

namespace {

constexpr auto s_tickInterval = framework::Milliseconds(1'000);

auto tickLoop(std::shared_ptr<GossipService> service, std::shared_ptr<bool> running) -> Async<void>
{
    while (*running) {
        service->tick();
        co_await framework::sleepFor(s_tickInterval);
    }
}

} // namespace

GossipModule::GossipModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_running(std::make_shared<bool>(false))
{}

auto GossipModule::exports() const -> std::vector<std::string_view>
{
    return {IGossip::s_serviceName, IConfirmations::s_serviceName, IExternalContact::s_serviceName};
}

auto GossipModule::imports() const -> std::vector<std::string_view>
{
    return {coordination::IMembership::s_serviceName, framework::IPeers::s_serviceName, framework::IClock::s_serviceName,
            framework::Metrics::s_serviceName, framework::IStateDump::s_serviceName};
}

auto GossipModule::createService(const GossipServices& services) -> void
{
    const auto seed = framework::hash64(m_settings.host, services.membership->self().id.incarnation);
    m_service = std::make_shared<GossipService>(services, m_settings.peers.seeds, seed);
    services.peers->listenFor("gossip", [service = m_service](const std::string& payload) { service->handleMessage(payload); });
}

auto GossipModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = GossipServices();
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(services.peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(auto dump, registry.resolve<framework::IStateDump>());
    createService(services);
    dump->add("gossip", [service = m_service] { return service->dump(); });
    BOOST_OUTCOME_TRYV(registry.add<IGossip>(m_service));
    BOOST_OUTCOME_TRYV(registry.add<IConfirmations>(m_service));
    return registry.add<IExternalContact>(m_service);
}

auto GossipModule::start() -> framework::AsyncResult<void>
{
    *m_running = true;
    boost::asio::co_spawn(m_executor, tickLoop(m_service, m_running), boost::asio::detached);
    co_return framework::success();
}

auto GossipModule::stop() -> Async<void>
{
    *m_running = false;
    co_return;
}

} // namespace laburnummill::gossip
