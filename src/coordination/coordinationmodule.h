#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::coordination {

class Coordinator;

/// Provides the membership of data centres and the ownership of shards.
class CoordinationModule final : public framework::IModule
{
public:
    CoordinationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);

    auto name() const -> std::string_view override { return "coordination"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<Coordinator> m_coordinator;
};

} // namespace laburnummill::coordination
