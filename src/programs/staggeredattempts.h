#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "programs/alternatepartitions.h"

#include <functional>
#include <vector>

namespace laburnummill::programs {

/// What has become of attempts at several partitions.
struct AttemptsResult
{
    bool hasSucceeded = false;
    bool haveAllEnded = true; ///< before the last one's time was over
};

/// The store answers in about 10 ms.
inline constexpr auto s_stagger = framework::Milliseconds(60);

using PartitionAttempt = std::function<framework::Async<bool>(std::uint32_t partition)>;

/// Makes an attempt at each of `partitions` until one returns true. The next one begins when one has failed, or has taken `stagger`: a
/// partition that does not answer costs no more than that. Returns after `timeout` at the latest; attempts that are under way go on.
auto attemptInTurn(framework::asio::any_io_executor executor, std::vector<std::uint32_t> partitions, PartitionAttempt attempt,
                   framework::Milliseconds stagger, framework::Milliseconds timeout) -> framework::Async<AttemptsResult>;

} // namespace laburnummill::programs
