#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/nametable.h"
#include "peers/ipeers.h"
#include "programs/programtable.h"
#include "store/istore.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <map>

namespace laburnummill::programs {

/// Where a turn stood when its answer could end.
enum class CommitOutcome
{
    Stored, ///< in the store
    Kept,   ///< in memory here and on other hosts, to be stored when the store is back
    Alone,  ///< in memory here only
};

inline constexpr auto s_commitOutcomeNames = framework::NameTable<CommitOutcome, 3>{{
    {CommitOutcome::Stored, "stored"},
    {CommitOutcome::Kept, "kept"},
    {CommitOutcome::Alone, "alone"},
}};

/// What is known of a turn that a request continues.
struct TurnSearch
{
    TurnPtr turn;          ///< null where it was not found
    bool isCertain = true; ///< whether not found means that there is none
};

/// Keeps turns: in the store, one row each beside its program's; on other hosts while the store is away.
class TurnJournal
{
public:
    TurnJournal(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store, peers::IPeers& peers,
                const framework::IClock& clock, std::size_t cacheBytes);

    /// Makes a turn last, together with what its program has spent; `most` is what one turn of it may generate. Returns when it is stored,
    /// or when other hosts hold it because the store takes too long.
    auto commit(TurnPtr turn, std::uint64_t most) -> framework::Async<CommitOutcome>;

    /// The turn called `id` of any program; most are of `program`.
    auto find(std::string id, ProgramKey program) -> framework::Async<TurnSearch>;

    /// All turns that a turn continues; nothing where one cannot be had.
    auto findAncestors(TurnPtr turn) -> framework::Async<std::optional<std::vector<TurnPtr>>>;

    /// A turn that this host holds in memory; null where it does not.
    auto findHere(std::string_view id) -> TurnPtr;

    /// Tells the program's home of a turn that ended here, and gives it the tokens that the turn did not use.
    auto tellHome(const ProgramKey& key, TurnPtr turn, std::uint64_t returnedTokens) -> void;

    /// Takes a turn that ended at another host into memory.
    auto remember(const std::string& record) -> void;

    /// Holds turns for another host until it has written them.
    auto keepFor(const std::string& origin, std::uint64_t originIncarnation, const std::vector<std::string>& records) -> void;

    /// Tokens of a program's turns that are held for other hosts.
    auto heldTokens(const ProgramKey& program) const -> std::uint64_t;

    /// Writes turns of other hosts that did not do it themselves; called about once a second.
    auto writeForOthers() -> framework::Async<void>;

    /// Turns handed to other hosts that the store still lacks, those held for others not counted.
    auto unwritten() const -> std::size_t { return m_unwritten; }

    /// Whether no more turns can be held for a store that is away.
    auto isFull() const -> bool;

private:
    struct Writing
    {
        explicit Writing(const framework::asio::any_io_executor& executor)
            : changed(executor)
        {}

        TurnPtr turn;
        std::string record;
        std::uint64_t most = 0;
        framework::asio::steady_timer changed;
        bool isStored = false;
        bool isHandedOver = false; ///< other hosts were asked to hold it
        int keepsOpen = 0;
        int keeps = 0;
    };
    using WritingPtr = std::shared_ptr<Writing>;

    struct Bucket
    {
        std::deque<WritingPtr> waiting;
        bool isBusy = false;
    };

    struct Held
    {
        std::string origin;
        std::uint64_t originIncarnation = 0;
        std::string record;
        std::uint32_t partition = 0;
        ProgramKey program;
        std::uint64_t tokens = 0;
        framework::Instant since{};
    };

    /// A read of the store that goes on while other hosts are asked.
    struct RowRead
    {
        explicit RowRead(framework::asio::any_io_executor executor)
            : ended(std::move(executor))
        {}

        framework::Signal ended;
        bool hasEnded = false;
        bool isAnswered = false; ///< the store said what it holds
        TurnPtr turn;
    };
    using RowReadPtr = std::shared_ptr<RowRead>;

    struct Batch
    {
        store::Transaction transaction;
        std::vector<WritingPtr> writings;
        std::vector<std::pair<ProgramPtr, RowChange>> programs;
    };

    auto pump(std::uint32_t partition) -> framework::Async<void>;
    auto handOver(WritingPtr writing) -> void;
    auto keepAt(std::string address, WritingPtr writing) -> framework::Async<void>;
    auto gather(const Bucket& bucket) -> Batch;
    auto addProgram(Batch& batch, const WritingPtr& writing) -> void;
    auto resolve(Batch batch, const framework::Result<store::TransactionReply>& reply) -> bool;
    auto readRow(std::string id, std::uint32_t partition) -> framework::AsyncResult<TurnPtr>;
    auto readAnywhere(std::string id, std::uint32_t likely) -> framework::AsyncResult<TurnPtr>;
    auto findAncestor(Ancestor ancestor) -> framework::Async<TurnPtr>;
    auto takeTurns(const peers::messages::Response& response) -> void;
    auto askHome(std::string program, std::vector<std::string> ids) -> framework::Async<void>;
    auto askOthers(std::string id) -> framework::Async<TurnSearch>;

    /// Reads a row; returns after a while also where the store has not answered yet.
    auto readPatiently(std::string id, std::uint32_t partition) -> framework::Async<RowReadPtr>;

    framework::asio::any_io_executor m_executor;
    ProgramTable& m_table;
    store::IStore& m_store;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    TurnCache m_cache;
    std::array<Bucket, s_partitions> m_buckets;
    std::map<std::string, Held, std::less<>> m_heldForOthers;
    std::size_t m_unwritten = 0;
    std::size_t m_unwrittenBytes = 0;
    bool m_isStoreSlow = false;
};

} // namespace laburnummill::programs
