#pragma once

#include "configuration/configurationerrors.h"
#include "configuration/configurationtypes.h"
#include "framework/global/async.h"
#include "framework/global/json.h"

#include <functional>
#include <memory>
#include <string_view>

namespace laburnummill::configuration {

/// Name of the document in gossip and in the platform's head table.
inline constexpr auto s_configurationDocument = std::string_view("configuration");

/// The configuration in force on this host.
class IConfiguration
{
public:
    static constexpr std::string_view s_serviceName = "configuration.current";

    virtual ~IConfiguration() = default;

    /// The highest known version; null if none is known yet.
    virtual auto current() const -> std::shared_ptr<const Configuration> = 0;

    /// Calls `handler` after each increase of the version.
    virtual auto onChange(std::function<void()> handler) -> void = 0;

    /// Submits `document` as the successor of version `expected`. Returns the accepted version, or
    /// VersionConflict if another change was accepted first; current() then returns that one;
    /// Invalid if the document is not valid;
    /// the platform's OutcomeUnknown if it could not be determined in time whether the change was accepted.
    virtual auto apply(framework::Json document, std::uint64_t expected) -> framework::AsyncResult<std::uint64_t> = 0;
};

} // namespace laburnummill::configuration
