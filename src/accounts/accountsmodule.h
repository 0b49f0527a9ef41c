#pragma once

#include "framework/kernel/imodule.h"
#include "framework/settings/daemonsettings.h"
#include "gossip/igossip.h"

#include <memory>

namespace laburnummill::accounts {

class KeyRing;
class LimitRouter;

/// Module that provides API key checks and the rate and burst limits of client accounts.
class AccountsModule final : public framework::IModule
{
public:
    AccountsModule(framework::asio::any_io_executor executor, const framework::DaemonSettings& settings);

    auto name() const -> std::string_view override { return "accounts"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    auto createLimits(framework::ServiceRegistry& registry) -> framework::Result<void>;
    auto createKeys(framework::ServiceRegistry& registry) -> framework::Result<void>;
    auto registerWithGossip(gossip::IGossip& gossip) -> void;
    auto followKeysHead(framework::ServiceRegistry& registry) -> framework::Result<void>;
    auto bootstrap() -> framework::AsyncResult<void>;

    framework::asio::any_io_executor m_executor;
    const framework::DaemonSettings& m_settings;
    std::shared_ptr<KeyRing> m_keys;
    std::shared_ptr<LimitRouter> m_limits;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(false);
};

} // namespace laburnummill::accounts
