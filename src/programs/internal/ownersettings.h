#pragma once

#include "configuration/configurationtypes.h"
#include "programs/internal/historyqueue.h"

namespace laburnummill::programs {

/// Mechanisms that tests disable to verify that the invariant checks detect violations. All are enabled in the daemon.
struct OwnerPolicy
{
    bool checkTurns = true;
    bool checkCallIds = true;
    bool reserveBudget = true;
    bool claimRows = true; ///< a new owner writes its fencing number to the row before it acts
    bool checkLease = true;
    bool readBack = true;
    bool holdAtPeers = true;
};

struct OwnerSettings
{
    std::string self; ///< host and incarnation
    HistoryQueueSettings queue;
    configuration::ProgramLimits limits;
    framework::Milliseconds predecessorTimeout{2'000}; ///< how long a call waits for its predecessor to arrive
    std::size_t maxHistoryBytes = 8ULL * 1024 * 1024;  ///< limit for programs in memory; idle ones are evicted
    std::size_t recordAllowance = 64ULL * 1024;        ///< bytes reserved for an answer of unknown size
    std::size_t copies = 2;                            ///< peers that must hold a record while the store is down
    std::uint64_t completionTokens = 4'096;            ///< reserved for a turn whose call sets no limit
    OwnerPolicy policy;
};

} // namespace laburnummill::programs
