#pragma once

#include "framework/kernel/imodule.h"

#include <memory>

namespace laburnummill::calls {

class CrashTracker;
class AtMostOnceRunner;

/// Provides the services that run calls, quarantine requests and settle unknown outcomes.
class CallsModule final : public framework::IModule
{
public:
    auto name() const -> std::string_view override { return "calls"; }
    auto exports() const -> std::vector<std::string_view> override;
    auto imports() const -> std::vector<std::string_view> override;
    auto registerServices(framework::ServiceRegistry& registry) -> framework::Result<void> override;
    auto start() -> framework::AsyncResult<void> override;
    auto stop() -> framework::Async<void> override;

private:
    auto registerDump(const framework::ServiceRegistry& registry) -> framework::Result<void>;

    std::shared_ptr<CrashTracker> m_crashes;
    std::shared_ptr<AtMostOnceRunner> m_atMostOnce;
};

} // namespace laburnummill::calls
