#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::configuration {

class ConfigurationManager;

/// Loads the versioned configuration from the platform and provides the version in force on this host.
class ConfigurationModule final : public framework::IModule
{
public:
    ConfigurationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);

    auto name() const -> std::string_view override { return "configuration"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    auto connect(framework::ServiceRegistry& registry) -> framework::Result<void>;
    auto followHead(framework::ServiceRegistry& registry) -> framework::Result<void>;
    auto bootstrap() -> framework::AsyncResult<void>;

    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<ConfigurationManager> m_manager;
};

} // namespace laburnummill::configuration
