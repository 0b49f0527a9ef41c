#pragma once

#include "framework/http/httpserver.h"
#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::administration {

class OperatorHandler;

/// Serves the HTTP API for operators on a separate port.
class AdministrationModule final : public framework::IModule
{
public:
    AdministrationModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);
    ~AdministrationModule() override;

    auto name() const -> std::string_view override { return "administration"; }
    auto exports() const -> std::vector<std::string_view> override { return {}; }
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<OperatorHandler> m_handler;
    std::shared_ptr<framework::HttpServer> m_server;
};

} // namespace laburnummill::administration
