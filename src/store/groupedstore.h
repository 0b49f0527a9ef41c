#pragma once

#include "framework/global/iclock.h"
#include "framework/global/signal.h"
#include "framework/global/workcount.h"
#include "framework/metrics/metrics.h"
#include "peers/ipeers.h"
#include "store/istore.h"
#include "store/storehealth.h"
#include "store/transactiongroup.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace laburnummill::store {

/// The store with its faults evened out. While it is slow, one host writes the transactions of all hosts to a partition in groups, since
/// a partition takes one transaction after the other. A write whose answer is lost is settled by reading its rows back.
class GroupedStore final : public IStore, public IStoreStatus
{
public:
    /// `store`: by any way.
    GroupedStore(framework::asio::any_io_executor executor, IStore& store, StoreHealth& health, peers::IPeers& peers,
                 const framework::IClock& clock, framework::Metrics& metrics);

    auto transact(Transaction transaction) -> framework::AsyncResult<TransactionReply> override;
    auto list(ListRequest request) -> framework::AsyncResult<RowPage> override;
    auto state(std::string_view partition) const -> StoreState override;
    auto isAwayAlone(std::string_view partition) const -> bool override { return m_health.isAwayAlone(partition); }
    auto awaitReturn(framework::Milliseconds timeout) -> framework::Async<void> override;

    /// A store that was away answers again: writes without an answer are settled now.
    auto onReturn() -> void;

    /// Writes a transaction together with others of its partition. For this host, and for others that have chosen it as the committer.
    auto commitInGroup(Transaction transaction) -> framework::AsyncResult<TransactionReply>;

private:
    template<class T>
    struct OpenCall
    {
        explicit OpenCall(framework::asio::any_io_executor executor)
            : ended(std::move(executor))
        {}

        framework::Signal ended;
        std::optional<framework::Result<T>> result;
    };
    using OpenWrite = std::shared_ptr<OpenCall<TransactionReply>>;
    using OpenRead = std::shared_ptr<OpenCall<std::vector<Row>>>;

    struct Member
    {
        Transaction transaction;
        bool isAlone = false; ///< the store has rejected a group that contained it
        OpenWrite write;
    };
    using MemberPtr = std::shared_ptr<Member>;

    struct Queue
    {
        std::deque<MemberPtr> waiting;
        framework::WorkCount writers;
    };

    auto sendToCommitter(std::string committer, const Transaction& transaction) -> framework::AsyncResult<TransactionReply>;
    /// `writer`: counts as a writer of the queue until it ends.
    auto writeGroups(std::string partition, framework::WorkCount::Token writer) -> framework::Async<void>;
    auto takeGroup(Queue& queue, TransactionGroup& group) -> std::vector<MemberPtr>;
    auto answerGroup(Queue& queue, const TransactionGroup& group, const std::vector<MemberPtr>& members,
                     const framework::Result<TransactionReply>& reply) -> void;
    auto write(Transaction transaction) -> framework::AsyncResult<TransactionReply>;
    auto writeOnce(Transaction transaction) -> framework::AsyncResult<TransactionReply>;
    /// Whether the store has answered the write, or has refused it for sure.
    static auto isDecided(const OpenCall<TransactionReply>& write) -> bool;
    auto startWrite(const Transaction& transaction) -> OpenWrite;
    /// Finds out what became of a write without an answer, and writes again if the store answers other calls and does not have the rows.
    auto settle(const Transaction& transaction, OpenWrite open) -> framework::AsyncResult<TransactionReply>;
    auto startReadBack(const Transaction& transaction) -> OpenRead;
    auto readBack(std::vector<Put> puts) -> framework::AsyncResult<std::vector<Row>>;

    framework::asio::any_io_executor m_executor;
    IStore& m_store;
    StoreHealth& m_health;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    framework::Metrics& m_metrics;
    std::map<std::string, Queue> m_queues; ///< by partition
    std::set<OpenWrite> m_unsettled;       ///< writes without an answer
    framework::Signal m_returned;
};

} // namespace laburnummill::store
