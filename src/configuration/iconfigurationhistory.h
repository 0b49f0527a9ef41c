#pragma once

#include "configuration/configurationerrors.h"
#include "framework/global/async.h"
#include "framework/global/json.h"

#include <string_view>
#include <vector>

namespace laburnummill::configuration {

/// An accepted version of the configuration.
struct ConfigurationRecord
{
    std::uint64_t version = 0;
    std::int64_t acceptedAt = 0; ///< milliseconds since the Unix epoch, by the accepting host's clock
    framework::Json document;

    auto operator==(const ConfigurationRecord&) const -> bool = default;
};

/// The last `s_retainedVersions` versions, which the platform stores.
class IConfigurationHistory
{
public:
    static constexpr std::string_view s_serviceName = "configuration.history";
    static constexpr auto s_retainedVersions = std::uint64_t{64};

    virtual ~IConfigurationHistory() = default;

    /// The stored versions, oldest first.
    virtual auto records() -> framework::AsyncResult<std::vector<ConfigurationRecord>> = 0;

    /// Returns one version, or VersionUnknown if it is not stored.
    virtual auto record(std::uint64_t version) -> framework::AsyncResult<ConfigurationRecord> = 0;
};

} // namespace laburnummill::configuration
