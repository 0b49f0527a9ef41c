#pragma once

#include "calls/callerrors.h"
#include "framework/global/async.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::calls {

/// A non-repeatable call for which it is not known whether it ran. Holds a hash of the idempotency key, not the key itself.
struct UnknownOutcome
{
    std::string account;
    std::string keyHash;
    std::string attempt;
    std::string host;             ///< the host that executed the call
    std::int64_t startedAtMs = 0; ///< wall time, since the Unix epoch
};

/// An operator's decision on whether a call with an unknown outcome ran.
enum class Finding
{
    Ran,    ///< the call ran and its answer is lost; repeats are rejected
    NotRun, ///< the call did not run; the next repeat runs it
};

/// Lets operators list and settle calls with an unknown outcome.
class IOutcomes
{
public:
    static constexpr std::string_view s_serviceName = "calls.outcomes";

    virtual ~IOutcomes() = default;

    /// Returns at most 1000 unknown outcomes, ordered by account and key hash, that follow `after`
    /// ("ACCOUNT/HASH"; empty: from the start).
    virtual auto list(std::string after) -> framework::AsyncResult<std::vector<UnknownOutcome>> = 0;

    /// Settles an unknown outcome; `operatorName` and `reason` are stored in the call's record. Returns OutcomeNotUnknown
    /// if the call has no unknown outcome, and ExecutorAlive if its host may still be running it.
    virtual auto settle(std::string account, std::string keyHash, Finding finding, std::string operatorName, std::string reason)
        -> framework::AsyncResult<void> = 0;
};

} // namespace laburnummill::calls
