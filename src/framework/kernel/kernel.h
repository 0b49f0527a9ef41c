#pragma once

#include "framework/kernel/imodule.h"

#include <memory>
#include <string>
#include <vector>

namespace laburnummill::framework {

/// Holds the modules of a daemon and brings them up and down in the order of their dependencies.
class Kernel
{
public:
    auto add(std::unique_ptr<IModule> module) -> void;

    /// Names services that are registered beside the modules.
    auto provide(std::vector<std::string_view> names) -> void { m_provided = std::move(names); }

    /// Orders the modules and lets each register its services. On failure `culprit` names what is at fault.
    auto assemble(std::string& culprit) -> Result<void>;

    /// Starts all modules; stops those already started where one fails.
    auto start() -> AsyncResult<void>;

    /// Stops the started modules in reverse order.
    auto stop() -> Async<void>;

    auto registry() -> ServiceRegistry& { return m_registry; }

private:
    auto sortByDependencies(std::string& culprit) -> Result<void>;

    std::vector<std::string_view> m_provided;
    std::vector<std::unique_ptr<IModule>> m_modules;
    std::size_t m_started = 0;
    ServiceRegistry m_registry;
};

} // namespace laburnummill::framework
