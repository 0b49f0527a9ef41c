#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/nametable.h"
#include "framework/global/workcount.h"
#include "peers/ipeers.h"
#include "programs/commitpolicy.h"
#include "programs/heldreplicas.h"
#include "programs/hostregister.h"
#include "programs/programtable.h"
#include "programs/turnabsence.h"
#include "programs/turnrows.h"
#include "programs/unstoredmemory.h"
#include "store/istore.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <map>

namespace laburnummill::programs {

/// How a turn was stored when its answer was completed.
enum class CommitOutcome
{
    Stored,          ///< in the store
    StoredElsewhere, ///< in the store, in another partition than that of its program
    Replicated,      ///< in memory on this and other hosts; only turns whose callers send the history end so
    LocalOnly,       ///< in memory on this host only; likewise
    NotStored,       ///< the store has not accepted it in time
};

inline constexpr auto s_commitOutcomeNames = framework::NameTable<CommitOutcome, 5>{{
    {CommitOutcome::Stored, "stored"},
    {CommitOutcome::StoredElsewhere, "elsewhere"},
    {CommitOutcome::Replicated, "kept"},
    {CommitOutcome::LocalOnly, "alone"},
    {CommitOutcome::NotStored, "not_stored"},
}};

/// Bounds of a journal.
struct JournalLimits
{
    std::size_t cacheBytes = 0;
    std::size_t unstoredBytes = 0; ///< see UnstoredMemory
    std::size_t rowBytes = 65'536; ///< the most that the store accepts as a row's value
};

/// Result of the search for a turn that a request continues.
struct TurnSearch
{
    TurnPtr turn;          ///< null if it was not found
    bool isCertain = true; ///< whether a null `turn` means that there is no such turn
};

/// Stores turns as rows in the partition of their program; while that partition is away, in another one. In an outage of the whole store
/// they wait in memory. Of turns whose callers send the history only the tokens are stored; these are replicated to other hosts in an
/// outage. A turn that the store rejects does not delay others.
class TurnJournal
{
public:
    TurnJournal(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store, store::IStoreStatus& storeStatus,
                peers::IPeers& peers, const IOutageScope& outage, HostRegister& hosts, const framework::IClock& clock,
                const JournalLimits& limits);

    /// Sets for how long turns are retained; the default is one minute and some seconds for clock differences between hosts.
    auto setRetention(framework::Milliseconds retention) -> void { m_retention = retention; }
    auto retention() const -> framework::Milliseconds { return m_retention; }

    /// Stores a turn, and its program's token counts if they are due; `maxTokens` is the most that one of its turns may generate.
    /// Returns when the turn is stored, or by nextCommitStep() need not be. With NotStored, at `endBy`, the turn's answer must not end as
    /// if it were whole; its row may be written later.
    auto commit(TurnPtr turn, std::uint64_t maxTokens, TurnHistory history, framework::Instant endBy) -> framework::Async<CommitOutcome>;

    /// Whether a turn of the program should be served by a host that is not cut off from the store as this one is.
    auto isCutOff(const ProgramKey& program) const -> bool;

    /// Whether the store takes no turn of the program at present, in any partition and at any host, as far as this one knows.
    auto isStoreAwayForAll(const ProgramKey& program) const -> bool;

    /// Returns when a store that was away answers again, or after `timeout`.
    auto awaitReturn(framework::Milliseconds timeout) -> framework::Async<void>;

    /// Whether a turn of the program that begins now can be stored by `endBy`, as far as the pace of the store tells.
    auto canCommitBy(const ProgramKey& program, framework::Instant endBy) const -> bool;

    /// Looks up a turn of any program by id; it is most likely one of `program`.
    auto find(std::string id, ProgramKey program) -> framework::Async<TurnSearch>;

    /// All turns that a turn continues, oldest first; nullopt if one of them cannot be found.
    auto findAncestors(TurnPtr turn) -> framework::Async<std::optional<std::vector<TurnPtr>>>;

    /// Returns the turn from this host's memory; null if it is not there.
    auto findLocal(std::string_view id) -> TurnPtr;

    /// Sends a turn that ended on this host to the program's home host and returns the tokens that the turn did not use.
    auto notifyHome(const ProgramKey& key, TurnPtr turn, std::uint64_t returnedTokens) -> void;

    /// Caches a turn that ended on another host.
    auto cacheTurn(const std::string& record) -> void;

    /// Holds turns of another host in memory until that host has written them. Returns false if there is no memory for one of them.
    auto holdReplicas(const std::string& origin, std::uint64_t originIncarnation, const std::vector<std::string>& records) -> bool;

    /// Tokens of a program's turns that are held for other hosts.
    auto replicaTokens(const ProgramKey& program) const -> std::uint64_t { return m_replicas.tokens(program); }

    /// Writes turns of other hosts that have not written them in time, and replicates own turns that no other host holds; called about
    /// once a second.
    auto keepReplicas() -> framework::Async<void>;

    /// From now on turns of other hosts are written at once, or handed over to further hosts if the store does not answer.
    auto beginStop() -> void { m_isStopping = true; }

    /// Number of turns that are held for other hosts.
    auto replicas() const -> std::size_t { return m_replicas.count(); }

    /// Number of this host's turns that were replicated and are not in the store yet.
    auto unwritten() const -> std::size_t { return m_unwritten; }

    /// Whether some of these are expected to be written soon; the store has not rejected them.
    auto isWriting() const -> bool { return m_unwritten > m_rejected; }

    /// Whether the limit on turns that wait for the store is exceeded.
    auto isFull() const -> bool;

private:
    struct PendingWrite
    {
        explicit PendingWrite(const framework::asio::any_io_executor& executor)
            : changed(executor)
        {}

        TurnPtr turn;
        std::string record;
        TurnRows rows;
        std::uint64_t maxTokens = 0;
        TurnHistory history = TurnHistory::KeptByHosts;
        framework::Instant since{};
        framework::asio::steady_timer changed;
        bool isStored = false;
        bool isAlone = false; ///< written by a transaction of its own, because the store has rejected one that contained it
        int rejections = 0;
        bool isCounted = false;  ///< among the unwritten turns
        bool isReleased = false; ///< stored or abandoned
        bool isStoredElsewhere = false;
        bool isBeingStoredElsewhere = false;
        int openReplications = 0;
        int replicas = 0;
        std::size_t heldBytes = 0; ///< of the turn, its record and its rows
    };
    using PendingWritePtr = std::shared_ptr<PendingWrite>;

    struct PartitionQueue
    {
        std::deque<PendingWritePtr> waiting;
        framework::WorkCount writers;
    };

    /// A read from the store that continues while other hosts are queried.
    struct RowRead
    {
        explicit RowRead(framework::asio::any_io_executor executor)
            : ended(std::move(executor))
        {}

        framework::Signal ended;
        bool hasEnded = false;
        bool isAnswered = false; ///< the store answered, with or without the row
        TurnPtr turn;
    };
    using RowReadPtr = std::shared_ptr<RowRead>;

    /// A change of a program's row that is written with a turn.
    struct ProgramWrite
    {
        ProgramPtr program;
        RowChange change;
        std::uint64_t released = 0; ///< tokens that it gives back
    };

    struct Batch
    {
        store::Transaction transaction;
        std::vector<PendingWritePtr> writes;
        std::vector<ProgramWrite> programs;
        std::size_t bytes = 0; ///< of rows of turns
    };

    /// What the partitions that stand in for a turn's own have of it.
    struct AlternateSearch
    {
        TurnPtr turn;
        bool isComplete = true; ///< all of them have answered
    };

    /// What the other hosts answered to a query for a turn.
    struct PeerSearch
    {
        TurnPtr turn;
        std::set<HostIncarnation> answered; ///< hosts that do not have it
    };

    auto enqueue(PendingWritePtr write) -> void;
    /// Writes the parts of a turn that exceeds a row, then lets its head be written.
    auto writeParts(PendingWritePtr write) -> framework::Async<void>;
    auto writeQueued(std::uint32_t partition, framework::WorkCount::Token writer) -> framework::Async<void>;
    /// Returns the writes of a batch that was not stored to the head of their queue.
    auto putBack(const Batch& batch) -> void;
    /// Sets a turn that the store rejects by itself aside; it is tried again later, apart from others.
    auto onRejected(const PendingWritePtr& write) -> void;
    auto retryRejected(PendingWritePtr write, framework::Milliseconds delay) -> framework::Async<void>;
    /// Removes a write that is stored or abandoned from the counts.
    auto release(const PendingWritePtr& write) -> void;
    auto nextStep(const PendingWrite& write, framework::Instant endBy) const -> CommitStep;
    auto awaitChange(const PendingWritePtr& write, framework::Milliseconds timeout) -> framework::Async<void>;
    auto stateFor(std::uint32_t partition) const -> store::StoreState;
    auto isAwayAlone(std::uint32_t partition) const -> bool;
    /// The same, once calls to other partitions have told whether the store answers these.
    auto isFoundAwayAlone(std::uint32_t partition) -> framework::Async<bool>;
    /// Writes all rows of a turn; those of `further` together with the last one.
    auto storeRecord(const Turn& turn, const std::string& record, std::uint32_t partition, std::vector<store::Put> further = {})
        -> framework::AsyncResult<void>;
    /// Writes a turn to another partition than its own, with what this host has granted of its program.
    auto storeElsewhere(TurnPtr turn, std::shared_ptr<const std::string> record) -> framework::Async<bool>;
    auto startStoringElsewhere(const PendingWritePtr& write) -> void;
    auto onStoredElsewhere(const PendingWritePtr& write) -> void;
    /// Writes turns that are in memory only to other partitions, once theirs are away by themselves.
    auto storeWaitingElsewhere() -> framework::Async<void>;
    /// Writes a turn that was found in another partition to its own.
    auto moveToOwnPartition(const TurnPtr& turn) -> void;
    /// Replicates the tokens of a turn that the store has not accepted yet, and waits for that or for the store.
    auto keepUnstored(PendingWritePtr write) -> framework::Async<CommitOutcome>;
    auto replicate(const PendingWritePtr& write) -> void;
    auto replicateAgain() -> void;
    auto handOver() -> framework::Async<void>;
    auto replicateTo(std::string address, PendingWritePtr write) -> framework::Async<void>;
    auto awaitRetry(std::uint32_t partition) -> framework::Async<void>;
    /// Waits until the calls under way leave memory for a further one.
    auto awaitWriteMemory(std::size_t bytes) -> framework::Async<void>;
    auto endWrite(std::size_t bytes) -> void;
    auto writersFor(std::uint32_t partition) const -> int;
    /// Bytes of a turn's row; its parts are written before.
    static auto rowBytes(const PendingWrite& write) -> std::size_t;
    /// Bytes of the rows that the next call can hold.
    static auto nextBatchBytes(const PartitionQueue& queue) -> std::size_t;
    /// Takes the writes of a batch out of the queue.
    auto composeBatch(PartitionQueue& queue) -> Batch;
    auto addProgram(Batch& batch, const PendingWritePtr& write) -> void;
    auto handleReply(Batch batch, const framework::Result<store::TransactionReply>& reply) -> bool;
    auto readRow(std::string id, std::uint32_t partition) -> framework::AsyncResult<TurnPtr>;
    auto readParts(std::string id, std::uint32_t partition, DividedTurnHead head) -> framework::AsyncResult<TurnPtr>;
    /// Reads from up to `most` of the partitions that stand in for a turn's own.
    auto readFromAlternates(std::string id, std::uint32_t partition, std::size_t most) -> framework::Async<AlternateSearch>;
    auto findAncestor(Ancestor ancestor) -> framework::Async<TurnPtr>;
    auto cacheTurns(const peers::messages::Response& response) -> void;
    auto queryHome(std::string program, std::vector<std::string> ids) -> framework::Async<void>;
    auto queryPeers(std::string id) -> framework::Async<PeerSearch>;
    /// Whether a turn that neither the store nor a host of `answered` has certainly does not exist.
    auto isAbsent(const std::string& id, std::set<HostIncarnation> answered) -> framework::Async<bool>;

    /// Starts to read a row; returns when the store has answered, or after a time-out with the read still running.
    auto readWithTimeout(std::string id, std::uint32_t partition) -> framework::Async<RowReadPtr>;

    framework::asio::any_io_executor m_executor;
    ProgramTable& m_table;
    store::IStore& m_store;
    store::IStoreStatus& m_storeStatus;
    peers::IPeers& m_peers;
    const IOutageScope& m_outage;
    HostRegister& m_hosts;
    const framework::IClock& m_clock;
    std::size_t m_rowBytes;
    framework::Instant m_startedAt;
    framework::Milliseconds m_retention{70'000};
    TurnCache m_cache;
    std::map<std::string, TurnPtr, std::less<>> m_pending; ///< turns of this host that are not in the store yet, by id
    std::array<PartitionQueue, s_partitionCount> m_partitionQueues;
    HeldReplicas m_replicas;
    std::vector<PendingWritePtr> m_underReplicated; ///< own turns that no other host holds
    CommitPace m_commitPace;
    UnstoredMemory m_unstored;
    framework::Signal m_writeEnded;
    std::size_t m_unwritten = 0;
    std::size_t m_rejected = 0;      ///< turns that the store has rejected and that wait for another attempt
    std::size_t m_rejectedBytes = 0; ///< of their records
    bool m_isStopping = false;
};

} // namespace laburnummill::programs
