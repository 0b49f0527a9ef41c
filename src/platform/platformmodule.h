#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::platform {

class HeadsReader;

/// The platform's services: over HTTP, or in memory for an embedded daemon.
class PlatformModule final : public framework::IModule
{
public:
    PlatformModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings, bool embedded);

    auto name() const -> std::string_view override { return "platform"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override { return {}; }
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    bool m_embedded;
    std::shared_ptr<HeadsReader> m_heads;
    std::shared_ptr<bool> m_running;
};

} // namespace laburnummill::platform
