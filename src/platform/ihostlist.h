#pragma once

#include "framework/global/async.h"
#include "platform/platformtypes.h"

#include <string_view>
#include <vector>

namespace laburnummill::platform {

/// The platform's list of live and leaving hosts. It lags: one input among others, never the truth.
class IHostList
{
public:
    static constexpr std::string_view s_serviceName = "platform.hosts";

    virtual ~IHostList() = default;

    virtual auto hosts() -> framework::AsyncResult<std::vector<HostEntry>> = 0;
};

} // namespace laburnummill::platform
