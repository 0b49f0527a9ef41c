#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::gossip {

class GossipService;
struct GossipServices;

/// Spreads versioned documents between hosts.
class GossipModule final : public framework::IModule
{
public:
    GossipModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);

    auto name() const -> std::string_view override { return "gossip"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    auto createService(const GossipServices& services) -> void;

    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<GossipService> m_service;
    std::shared_ptr<bool> m_running;
};

} // namespace laburnummill::gossip
