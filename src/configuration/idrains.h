#pragma once

#include "configuration/configurationerrors.h"
#include "framework/global/async.h"

#include <string>
#include <string_view>

namespace laburnummill::configuration {

enum class DrainState
{
    Serving, ///< receives new work
    Drained, ///< receives no new work; running work finishes
};

/// Drains data centres and back ends and returns them to service by changing the configuration. Safe against concurrent
/// changes: each change is based on the platform's version and retried if another change was accepted first.
class IDrains
{
public:
    static constexpr std::string_view s_serviceName = "configuration.drains";

    virtual ~IDrains() = default;

    /// Returns the version that contains the state, which is the current version if the data centre already has this state.
    /// Fails with DataCentreUnknown, with VersionConflict after several conflicts, or with the platform's error.
    virtual auto setDataCentre(std::string name, DrainState state) -> framework::AsyncResult<std::uint64_t> = 0;

    /// The same for a back end; fails with BackendServerUnknown if there is none of this name.
    virtual auto setBackendServer(std::string name, DrainState state) -> framework::AsyncResult<std::uint64_t> = 0;
};

} // namespace laburnummill::configuration
