#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::reporting {

class FigureKeeper;

/// Figures of calls and programs, kept by the platform window by window, and the report made of them.
class ReportingModule final : public framework::IModule
{
public:
    ReportingModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);

    auto name() const -> std::string_view override { return "reporting"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<FigureKeeper> m_figures;
    std::shared_ptr<bool> m_running;
};

} // namespace laburnummill::reporting
