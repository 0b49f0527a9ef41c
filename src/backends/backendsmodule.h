#pragma once

#include "framework/kernel/imodule.h"

namespace laburnummill::backends {

/// Provides the clients of model engines and plain services.
class BackendsModule final : public framework::IModule
{
public:
    explicit BackendsModule(framework::asio::any_io_executor executor);

    auto name() const -> std::string_view override { return "backends"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override { return {}; }
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override { co_return framework::success(); }
    auto stop() -> framework::Async<void> override { co_return; }

private:
    framework::asio::any_io_executor m_executor;
};

} // namespace laburnummill::backends
