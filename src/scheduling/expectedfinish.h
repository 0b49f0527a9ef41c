#pragma once

#include "backends/backendregistry.h"

namespace laburnummill::scheduling {

/// Load of a backend server as far as it is known when a request is placed.
struct ExpectedLoad
{
    double requests = 0;  ///< expected number that run or wait there
    double deviation = 0; ///< standard deviation of `requests`
    double slots = 1;     ///< requests that it runs at a time
    double pace = 1;      ///< how long work takes there, as a ratio to the usual
    double penalty = 0;   ///< cost of failures and overdue requests, in milliseconds
};

/// Work of a request on one backend server, at the usual pace.
struct ExpectedWork
{
    double serviceMs = 0; ///< time for which the request occupies a slot, without reading its prompt
    double prefillMs = 0; ///< time for reading the part of its prompt that the server has not cached
};

/// What the reports of the other hosts say of all servers of a service.
struct RemoteLoad
{
    double average = 0;      ///< running requests of other hosts at a server
    double reportWeight = 1; ///< of the reports on one server, from 0 to 1; the rest of the weight is that of the average
};

/// Weight of reports that hosts send at this interval. All hosts place by the same reports, so that a server that was reported to have
/// little load may have got the requests of all hosts since.
auto reportWeight(framework::Milliseconds interval) -> double;

/// What this host knows of the load of `server`: its own requests exactly, those of other hosts by their reports, both corrected by what
/// the server has stated itself as long as that is recent. `penalty` is in milliseconds.
auto expectedLoad(const backends::Backend& server, const RemoteLoad& remote, double slots, double penalty, framework::Instant now)
    -> ExpectedLoad;

/// Cost of placing a request on a server, in milliseconds: the time until it is expected to end there and the delay that it causes to
/// others. An engine that reads a prompt does not generate for the other requests of its batch, so that an uncached prompt costs its
/// prefill time once more for each of them. Uncertain knowledge counts as a possible wait before all slots are known to be in use.
auto expectedFinish(const ExpectedLoad& load, const ExpectedWork& work) -> double;

} // namespace laburnummill::scheduling
