#pragma once

#include "backends/backendtypes.h"
#include "calls/callerrors.h"
#include "calls/calltypes.h"
#include "framework/global/async.h"
#include "framework/global/cancellation.h"

#include <string_view>

namespace laburnummill::calls {

/// Runs calls. Calls of non-repeatable routes run at most once; calls of repeatable routes are retried.
class ICalls
{
public:
    static constexpr std::string_view s_serviceName = "calls.calls";

    virtual ~ICalls() = default;

    /// Runs a call and streams generated text to `sink`. A cancellation ends the call, except for a non-repeatable call
    /// that has started: it runs to completion and its outcome is recorded.
    virtual auto run(CallRequest request, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<CallOutcome> = 0;
};

} // namespace laburnummill::calls
