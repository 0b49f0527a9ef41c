#include "accounts/accountsmodule.h"

#include "accounts/internal/keyring.h"
#include "accounts/internal/limitrouter.h"
#include "framework/dump/istatedump.h"
#include "framework/global/asyncqueue.h"
#include "framework/settings/jsonschema.h"
#include "platform/iheads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::accounts {

using framework::Async;
using framework::AsyncResult;
using framework::success;

namespace {

constexpr auto s_renewalInterval = framework::Milliseconds(250);

auto renewalLoop(std::shared_ptr<LimitRouter> limits, std::shared_ptr<bool> running) -> Async<void>
{
    while (*running) {
        limits->renewGrants();
        co_await framework::sleepFor(s_renewalInterval);
    }
}

auto refreshOnce(std::shared_ptr<KeyRing> keys) -> Async<void>
{
    // NOTE If the platform is down, the current list remains in force.
    (void)co_await keys->refresh();
}

} // namespace

AccountsModule::AccountsModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings)
    : m_executor(std::move(executor))
    , m_settings(settings)
{}

auto AccountsModule::exports() const -> std::vector<std::string_view>
{
    return {IKeys::s_serviceName, ILimits::s_serviceName};
}

auto AccountsModule::imports() const -> std::vector<std::string_view>
{
    return {platform::ITableService::s_serviceName, configuration::IConfiguration::s_serviceName,
            framework::IClock::s_serviceName,       platform::IHeads::s_serviceName,
            gossip::IGossip::s_serviceName,         gossip::IExternalContact::s_serviceName,
            coordination::IShards::s_serviceName,   coordination::IMembership::s_serviceName,
            framework::IPeers::s_serviceName,       framework::Metrics::s_serviceName,
            framework::IStateDump::s_serviceName};
}

auto AccountsModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRYV(createKeys(registry));
    return createLimits(registry);
}

auto AccountsModule::createLimits(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = LimitServices();
    BOOST_OUTCOME_TRY(services.configuration, registry.resolve<configuration::IConfiguration>());
    BOOST_OUTCOME_TRY(services.clock, registry.resolve<framework::IClock>());
    BOOST_OUTCOME_TRY(services.shards, registry.resolve<coordination::IShards>());
    BOOST_OUTCOME_TRY(services.membership, registry.resolve<coordination::IMembership>());
    BOOST_OUTCOME_TRY(services.peers, registry.resolve<framework::IPeers>());
    BOOST_OUTCOME_TRY(services.metrics, registry.resolve<framework::Metrics>());
    BOOST_OUTCOME_TRY(const auto dump, registry.resolve<framework::IStateDump>());
    m_limits = std::make_shared<LimitRouter>(std::move(services), GrantTerms());
    dump->add("limits", [limits = m_limits] { return limits->dump(); });
    return registry.add<ILimits>(m_limits);
}

auto AccountsModule::createKeys(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    auto services = KeyServices();
    BOOST_OUTCOME_TRY(services.tables, registry.resolve<platform::ITableService>());
    BOOST_OUTCOME_TRY(services.gossip, registry.resolve<gossip::IGossip>());
    BOOST_OUTCOME_TRY(services.contact, registry.resolve<gossip::IExternalContact>());
    BOOST_OUTCOME_TRY(auto dump, registry.resolve<framework::IStateDump>());
    m_keys = std::make_shared<KeyRing>(services, m_settings.keyTrust);
    dump->add("keys", [keys = m_keys] { return keys->dump(); });
    registerWithGossip(*services.gossip);
    BOOST_OUTCOME_TRYV(followKeysHead(registry));
    return registry.add<IKeys>(m_keys);
}

auto AccountsModule::registerWithGossip(gossip::IGossip& gossip) -> void
{
    auto hooks = gossip::DocumentHooks();
    hooks.current = [keys = m_keys] { return keys->changesSince(0); };
    hooks.offer = [keys = m_keys](const gossip::VersionedDocument& document) { keys->offerDocument(document); };
    hooks.version = [keys = m_keys] { return keys->version(); };
    hooks.changesSince = [keys = m_keys](std::uint64_t since) { return keys->changesSince(since); };
    gossip.addDocument(std::string(s_keysDocument), std::move(hooks));
}

auto AccountsModule::followKeysHead(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    BOOST_OUTCOME_TRY(auto heads, registry.resolve<platform::IHeads>());
    auto follower = std::make_shared<platform::HeadFollower>();
    const auto follow = [executor = m_executor, keys = m_keys, follower](std::uint64_t head) {
        if (follower->shouldRead(head, keys->version())) {
            boost::asio::co_spawn(executor, refreshOnce(keys), boost::asio::detached);
        }
    };
    heads->watch(std::string(s_keysDocument), follow);
    return success();
}

auto AccountsModule::bootstrap() -> AsyncResult<void>
{
    if (m_settings.bootstrapFile.empty()) {
        co_return success();
    }
    BOOST_OUTCOME_CO_TRY(const auto document, framework::readJsonFile(m_settings.bootstrapFile));
    for (const auto& key : document.value("keys", framework::Json::array())) {
        const auto given = co_await m_keys->issue(framework::stringAt(key, "keyHash"), framework::stringAt(key, "account"));
        // NOTE A key of the bootstrap file may have been withdrawn since; this must not prevent a restart of the daemon.
        if (!given && given.error() != AccountError::KeyExists) {
            co_return given.error();
        }
    }
    co_return success();
}

auto AccountsModule::start() -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRYV(co_await bootstrap());
    *m_running = true;
    m_limits->serve();
    boost::asio::co_spawn(m_executor, renewalLoop(m_limits, m_running), boost::asio::detached);
    co_return success();
}

auto AccountsModule::stop() -> Async<void>
{
    *m_running = false;
    co_await m_limits->handOverAll();
}

} // namespace laburnummill::accounts
