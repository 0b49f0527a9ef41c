#pragma once

#include "calls/callerrors.h"
#include "framework/global/async.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::calls {

/// A request that has repeatedly crashed backend servers and is not sent again while it is in quarantine.
struct QuarantinedRequest
{
    std::string fingerprint; ///< hash of route and body
    std::uint64_t crashes = 0;
    std::int64_t lastCrashMs = 0;  ///< wall time, since the Unix epoch
    std::int64_t releasedAtMs = 0; ///< wall time at which the quarantine expires
};

/// Requests in quarantine on all hosts, for operators.
class IQuarantine
{
public:
    static constexpr std::string_view s_serviceName = "calls.quarantine";

    virtual ~IQuarantine() = default;

    /// Returns the quarantined requests that are known on this host.
    virtual auto list() const -> std::vector<QuarantinedRequest> = 0;

    /// Ends the quarantine of a request. `operatorName` and `reason` are stored with the release.
    /// Returns NotQuarantined if the request is not in quarantine.
    virtual auto release(std::string fingerprint, std::string operatorName, std::string reason) -> framework::AsyncResult<void> = 0;
};

} // namespace laburnummill::calls
