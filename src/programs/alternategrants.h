#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/signal.h"
#include "framework/global/workcount.h"
#include "programs/programtable.h"
#include "store/istore.h"
#include "store/storehealth.h"

#include <bitset>

namespace laburnummill::programs {

/// Records grants of tokens in other partitions while that of a program's row is away, before turns use them, and reads what earlier
/// incarnations have recorded so. Turns of the program outlive the loss of all hosts there, and so must the count of their tokens.
///
/// Only a host that has lost its memory reads the other partitions, once: what others have granted since, it learns from these.
class AlternateGrants
{
public:
    AlternateGrants(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store,
                    const store::IStoreStatus& storeStatus, const framework::IClock& clock);

    /// Earlier incarnations may have recorded grants.
    auto expectEarlierGrants() -> void { m_read.reset(); }

    /// Older grants no longer count: no turn of their programs can be continued.
    auto setRetention(framework::Milliseconds retention) -> void { m_retention = retention; }

    /// Whether all partitions have been read.
    auto areAllKnown() const -> bool { return m_read.all(); }

    /// Whether all partitions have been read in which there can be grants of a program of `partition`.
    auto areKnownFor(std::uint32_t partition) const -> bool { return std::bitset<s_partitionCount>(m_read).set(partition).all(); }

    /// Reads the partitions that have not been read and are not away. Returns once the store has had the time to answer for those that it
    /// answers for; the others go on.
    auto read() -> framework::Async<void>;

    /// Writes all that this host has granted of the program to another partition. Returns false if none has taken it.
    auto record(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;

    /// Removes rows that the rows of their programs have made dispensable.
    auto removeDispensable() -> framework::Async<void>;

private:
    auto readPartition(std::uint32_t partition) -> framework::Async<bool>;
    auto addRow(const store::Row& row) -> void;
    auto isAway(std::uint32_t partition) const -> bool;
    auto isSlow() const -> bool;

    framework::asio::any_io_executor m_executor;
    ProgramTable& m_table;
    store::IStore& m_store;
    const store::IStoreStatus& m_storeStatus;
    const framework::IClock& m_clock;
    framework::Milliseconds m_retention{70'000};
    std::bitset<s_partitionCount> m_read = std::bitset<s_partitionCount>().set(); ///< partitions, or that nothing is to be read there
    framework::WorkCount m_reads;
    framework::Instant m_readSince{}; ///< start of the reads under way
    framework::Signal m_readEnded;
};

} // namespace laburnummill::programs
