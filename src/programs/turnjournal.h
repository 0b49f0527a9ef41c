#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/nametable.h"
#include "peers/ipeers.h"
#include "programs/turn.h"
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

/// Keeps turns: in the store, one row each, found by its id alone; on other hosts while the store is away.
class TurnJournal
{
public:
    TurnJournal(framework::asio::any_io_executor executor, store::IStore& store, peers::IPeers& peers, const framework::IClock& clock,
                std::size_t cacheBytes);

    /// Makes a turn last. Returns when it is stored, or when other hosts hold it because the store takes too long.
    auto commit(TurnPtr turn) -> framework::Async<CommitOutcome>;

    auto find(std::string id) -> framework::Async<TurnSearch>;

    /// All turns of `ids`; nothing where one cannot be had.
    auto findAll(std::vector<std::string> ids) -> framework::Async<std::optional<std::vector<TurnPtr>>>;

    /// A turn that this host holds in memory; null where it does not.
    auto findHere(std::string_view id) -> TurnPtr;

    /// Holds turns for another host until it has written them.
    auto keepFor(const std::string& origin, const std::vector<std::string>& records) -> void;

    /// Writes turns of other hosts that did not do it themselves; called about once a second.
    auto writeForOthers() -> framework::Async<void>;

    /// Turns handed to other hosts that the store still lacks, those held for others not counted.
    auto unwritten() const -> std::size_t { return m_unwritten; }

    /// Whether no more turns can be held for a store that is away.
    auto isFull() const -> bool;

private:
    struct Writing
    {
        explicit Writing(framework::asio::any_io_executor executor)
            : changed(std::move(executor))
        {}

        TurnPtr turn;
        std::string record;
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
        std::string record;
        framework::Instant since{};
    };

    static constexpr auto s_buckets = std::size_t{16};

    auto pump(std::size_t bucket) -> framework::Async<void>;
    auto handOver(WritingPtr writing) -> void;
    auto keepAt(std::string address, WritingPtr writing) -> framework::Async<void>;
    auto readRow(std::string id) -> framework::AsyncResult<TurnPtr>;

    framework::asio::any_io_executor m_executor;
    store::IStore& m_store;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    TurnCache m_cache;
    std::array<Bucket, s_buckets> m_bucketsWriting;
    std::map<std::string, Held, std::less<>> m_heldForOthers;
    std::size_t m_unwritten = 0;
    std::size_t m_unwrittenBytes = 0;
    bool m_isStoreSlow = false;
};

} // namespace laburnummill::programs
