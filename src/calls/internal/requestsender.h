#pragma once

#include "backends/ibackends.h"
#include "calls/internal/callsteps.h"
#include "calls/internal/crashtracker.h"
#include "configuration/configurationtypes.h"
#include "coordination/ishards.h"
#include "scheduling/ischeduler.h"

#include <memory>

namespace laburnummill::calls {

/// Acquires permits and sends requests for the state machines of calls.
class RequestSender
{
public:
    RequestSender(std::shared_ptr<scheduling::IScheduler> scheduler, std::shared_ptr<backends::IBackends> backends,
                  std::shared_ptr<coordination::IShards> shards, std::shared_ptr<CrashTracker> crashes);

    /// Waits for a permit for at most `timeout`. Also fails if the request is in quarantine or this host may no longer act for
    /// the call's shard.
    auto acquire(const CallRequest& request, const configuration::Route& route, framework::Milliseconds timeout)
        -> framework::Async<std::variant<scheduling::Permit, CallFailure>>;

    /// Returns an unused permit to the scheduler.
    auto returnPermit(const scheduling::Permit& permit) -> void;

    /// Sends the request under `permit` and releases the permit when the request has ended.
    auto send(const CallRequest& request, const configuration::Route& route, scheduling::Permit permit, framework::Milliseconds timeout,
              backends::IPieceSink& sink, framework::CancellationPtr cancellation) -> framework::Async<DispatchEnded>;

private:
    std::shared_ptr<scheduling::IScheduler> m_scheduler;
    std::shared_ptr<backends::IBackends> m_backends;
    std::shared_ptr<coordination::IShards> m_shards;
    std::shared_ptr<CrashTracker> m_crashes;
};

} // namespace laburnummill::calls
