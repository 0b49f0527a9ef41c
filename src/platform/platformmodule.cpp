#include "platform/platformmodule.h"

#include "framework/global/asyncqueue.h"
#include "platform/internal/embeddedplatform.h"
#include "platform/internal/headsreader.h"
#include "platform/internal/httpplatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::platform {

namespace {

constexpr auto s_headsInterval = framework::Milliseconds(1'000);

auto readLoop(std::shared_ptr<HeadsReader> heads, std::shared_ptr<bool> running) -> framework::Async<void>
{
    while (*running) {
        co_await heads->readAll();
        co_await framework::sleepFor(s_headsInterval);
    }
}

template<class Platform>
auto registerAll(framework::ServiceRegistry& registry, const std::shared_ptr<Platform>& platform) -> framework::Result<void>
{
    BOOST_OUTCOME_TRYV(registry.add<ITableService>(platform));
    BOOST_OUTCOME_TRYV(registry.add<IObjectStore>(platform));
    BOOST_OUTCOME_TRYV(registry.add<IHostList>(platform));
    return framework::success();
}

} // namespace

PlatformModule::PlatformModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings, bool embedded)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_embedded(embedded)
    , m_running(std::make_shared<bool>(false))
{}

auto PlatformModule::exports() const -> std::vector<std::string_view>
{
    return {ITableService::s_serviceName, IObjectStore::s_serviceName, IHostList::s_serviceName, IHeads::s_serviceName};
}

auto PlatformModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    if (m_embedded) {
        BOOST_OUTCOME_TRYV(registerAll(registry, std::make_shared<EmbeddedPlatform>()));
    } else {
        BOOST_OUTCOME_TRYV(registerAll(registry, std::make_shared<HttpPlatform>(m_executor, m_settings.platform, m_settings.dataCentre)));
    }
    BOOST_OUTCOME_TRY(auto tables, registry.resolve<ITableService>());
    m_heads = std::make_shared<HeadsReader>(std::move(tables));
    return registry.add<IHeads>(m_heads);
}

auto PlatformModule::start() -> framework::AsyncResult<void>
{
    *m_running = true;
    boost::asio::co_spawn(m_executor, readLoop(m_heads, m_running), boost::asio::detached);
    co_return framework::success();
}

auto PlatformModule::stop() -> framework::Async<void>
{
    *m_running = false;
    co_return;
}

} // namespace laburnummill::platform
