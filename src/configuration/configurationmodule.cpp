#include "configuration/configurationmodule.h"

#include "configuration/internal/configurationmanager.h"
#include "configuration/internal/drains.h"
#include "framework/dump/istatedump.h"
#include "framework/settings/jsonschema.h"
#include "gossip/iconfirmations.h"
#include "platform/iheads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::configuration {

using framework::Async;
using framework::AsyncResult;
using framework::success;

namespace {

auto refreshOnce(std::shared_ptr<ConfigurationManager> manager) -> Async<void>
{
    // NOTE If the platform is down, the version in force does not change.
    (void)co_await manager->refresh();
}

} // namespace

ConfigurationModule::ConfigurationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
{}

auto ConfigurationModule::exports() const -> std::vector<std::string_view>
{
    return {IConfiguration::s_serviceName, IConfigurationHistory::s_serviceName, IDrains::s_serviceName};
}

auto ConfigurationModule::imports() const -> std::vector<std::string_view>
{
    return {platform::ITableService::s_serviceName,  platform::IHeads::s_serviceName,  gossip::IGossip::s_serviceName,
            gossip::IExternalContact::s_serviceName, framework::IClock::s_serviceName, framework::IStateDump::s_serviceName};
}

auto ConfigurationModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(auto tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(auto clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(auto gossip, registry.resolve<gossip::IGossip>());
    auto store = std::make_shared<ConfigurationStore>(std::move(tables), std::move(clock));
    m_manager = std::make_shared<ConfigurationManager>(store, std::move(gossip));
    BOOST_OUTCOME_TRYV(connect(registry));
    BOOST_OUTCOME_TRYV(registry.add<IConfiguration>(m_manager));
    BOOST_OUTCOME_TRYV(registry.add<IConfigurationHistory>(store));
    return registry.add<IDrains>(std::make_shared<Drains>(m_manager));
}

auto ConfigurationModule::connect(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(auto gossip, registry.resolve<gossip::IGossip>());
    auto hooks = gossip::DocumentHooks();
    hooks.current = [manager = m_manager] { return manager->document(); };
    hooks.offer = [manager = m_manager](const gossip::VersionedDocument& document) { manager->offerDocument(document); };
    hooks.version = [manager = m_manager] { return manager->version(); };
    gossip->addDocument(std::string(s_configurationDocument), std::move(hooks));
    BOOST_OUTCOME_TRY(auto dump, registry.resolve<framework::IStateDump>());
    dump->add("configuration", [manager = m_manager] { return manager->dump(); });
    return followHead(registry);
}

auto ConfigurationModule::followHead(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(auto heads, registry.resolve<platform::IHeads>());
    BOOST_OUTCOME_TRY(auto contact, registry.resolve<gossip::IExternalContact>());
    auto follower = std::make_shared<platform::HeadFollower>();
    const auto follow = [executor = m_executor, manager = m_manager, contact = std::move(contact), follower](std::uint64_t head) {
        contact->recordContact();
        if (follower->shouldRead(head, manager->version())) {
            boost::asio::co_spawn(executor, refreshOnce(manager), boost::asio::detached);
        }
    };
    heads->watch(std::string(s_configurationDocument), follow);
    return success();
}

auto ConfigurationModule::bootstrap() -> AsyncResult<void>
{
    if (m_settings.bootstrapFile.empty()) {
        co_return success();
    }
    BOOST_OUTCOME_CO_TRY(const auto document, framework::readJsonFile(m_settings.bootstrapFile));
    const auto applied = co_await m_manager->apply(document.value("configuration", framework::Json::object()), 0);
    if (!applied && applied.error() != ConfigurationError::VersionConflict) {
        co_return applied.error();
    }
    co_return success();
}

auto ConfigurationModule::start() -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRYV(co_await bootstrap());
    co_return success();
}

auto ConfigurationModule::stop() -> Async<void>
{
    co_return;
}

} // namespace laburnummill::configuration
