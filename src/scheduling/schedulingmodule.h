#pragma once

#include "framework/kernel/imodule.h"

#include <memory>

namespace laburnummill::scheduling {

class DispatcherHost;
class PoolScheduler;

/// Provides the scheduler, which decides which call runs next and on which back end.
class SchedulingModule final : public framework::IModule
{
public:
    explicit SchedulingModule(framework::asio::any_io_executor executor);

    auto name() const -> std::string_view override { return "scheduling"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    std::shared_ptr<DispatcherHost> m_host;
    std::shared_ptr<PoolScheduler> m_scheduler;
    std::shared_ptr<bool> m_running;
};

} // namespace laburnummill::scheduling
