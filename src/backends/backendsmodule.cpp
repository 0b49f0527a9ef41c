#include "backends/backendsmodule.h"

#include "backends/internal/httpbackends.h"

namespace laburnummill::backends {

BackendsModule::BackendsModule(framework::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{}

auto BackendsModule::exports() const -> std::vector<std::string_view>
{
    return {IBackends::s_serviceName};
}

auto BackendsModule::registerServices(framework::ServiceRegistry& registry) -> framework::Result<void>
{
    return registry.add<IBackends>(std::make_shared<HttpBackends>(m_executor));
}

} // namespace laburnummill::backends
