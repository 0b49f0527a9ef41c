#pragma once

#include "framework/global/time.h"
#include "framework/kernel/imodule.h"

#include <memory>

namespace laburnummill::programs {

class OwnerDriver;
class ProgramRouter;

/// Module that provides IPrograms. A program's owner manages its turn order, history and budget; the other hosts forward requests
/// to it.
class ProgramsModule final : public framework::IModule
{
public:
    ProgramsModule(framework::asio::any_io_executor executor, framework::Milliseconds stopTimeout);

    auto name() const -> std::string_view override { return "programs"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    framework::Milliseconds m_stopTimeout;
    std::shared_ptr<OwnerDriver> m_driver;
    std::shared_ptr<ProgramRouter> m_router;
};

} // namespace laburnummill::programs
