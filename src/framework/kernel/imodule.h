#pragma once

#include "framework/global/async.h"
#include "framework/kernel/serviceregistry.h"

#include <string_view>
#include <vector>

namespace laburnummill::framework {

/// One feature of the daemon: what it exports, what it needs, how it starts and stops.
class IModule
{
public:
    virtual ~IModule() = default;

    virtual auto name() const -> std::string_view = 0;

    /// Names of the services that this module registers.
    virtual auto exports() const -> std::vector<std::string_view> = 0;

    /// Names of the services that must be registered before this module is.
    virtual auto imports() const -> std::vector<std::string_view> = 0;

    /// Resolves imports, creates the module's objects and registers its exports.
    virtual auto registerServices(ServiceRegistry& registry) -> Result<void> = 0;

    /// Begins work. Modules start in the order of their dependencies.
    virtual auto start() -> AsyncResult<void> = 0;

    /// Ends work, letting what runs come to its end. Modules stop in reverse order.
    virtual auto stop() -> Async<void> = 0;
};

} // namespace laburnummill::framework
