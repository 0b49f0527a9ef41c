#include "store/groupedstore.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "store/routedstore.h"
#include "store/storeerrors.h"
#include "store/storemessages.h"

#include <algorithm>

namespace laburnummill::store {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;
using framework::Result;

/// The store answers in about 10 ms; after this time a write is read back.
constexpr auto s_promptAnswer = Milliseconds(100);

/// Interval between two attempts to read a write back: doubles from the time-out above.
constexpr auto s_longestReadBack = Milliseconds(240);

/// Rows of a transaction that are read back, a call each.
constexpr auto s_mostRowsReadBack = std::size_t{3};

/// A committer writes one group before the one with this host's transaction.
constexpr auto s_committerTimeout = Milliseconds(2'500);

/// Groups of a partition that are under way at the same time: one is written while the other is on its way.
constexpr auto s_groupsInFlight = 2;

/// Repetitions of a write whose answers are lost.
constexpr auto s_mostRepeats = 8;

/// A call ends by its own time-out; its end interrupts this wait.
constexpr auto s_longWait = Milliseconds(5'000);

auto errorOf(const auto& result) -> std::error_code
{
    return result ? std::error_code() : result.error();
}

auto areWritten(const Transaction& transaction, const std::vector<Row>& rows) -> bool
{
    return std::ranges::all_of(transaction.puts, [&rows](const Put& put) {
        return std::ranges::any_of(rows, [&put](const Row& row) { return row.address == put.address && row.value == put.value; });
    });
}

auto newestVersion(const std::vector<Row>& rows) -> std::uint64_t
{
    auto version = std::uint64_t{0};
    std::ranges::for_each(rows, [&version](const Row& row) { version = std::max(version, row.version); });
    return version;
}

} // namespace

GroupedStore::GroupedStore(asio::any_io_executor executor, IStore& store, StoreHealth& health, peers::IPeers& peers,
                           const framework::IClock& clock, framework::Metrics& metrics)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_health(health)
    , m_peers(peers)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_returned(m_executor)
{}

auto GroupedStore::awaitReturn(Milliseconds timeout) -> Async<void>
{
    co_await m_returned.wait(timeout);
}

auto GroupedStore::onReturn() -> void
{
    std::ranges::for_each(m_unsettled, [](const auto& open) { open->ended.notify(); });
    m_returned.notify();
}

auto GroupedStore::state(std::string_view partition) const -> StoreState
{
    return m_health.state(partition);
}

auto GroupedStore::list(ListRequest request) -> AsyncResult<RowPage>
{
    const auto call = m_health.begin(request.partition);
    auto page = co_await m_store.list(std::move(request));
    m_health.end(call, errorOf(page));
    co_return page;
}

auto GroupedStore::transact(Transaction transaction) -> AsyncResult<TransactionReply>
{
    const auto partition = partitionOf(transaction);
    if (partition.empty()) {
        co_return co_await writeOnce(std::move(transaction));
    }
    if (!m_health.isSlow()) {
        co_return co_await write(std::move(transaction));
    }
    auto committer = m_peers.committer(partition);
    if (committer == m_peers.ownAddress()) {
        co_return co_await commitInGroup(std::move(transaction));
    }
    auto reply = co_await sendToCommitter(std::move(committer), transaction);
    if (reply || reply.error() != peers::PeerError::Unreachable) {
        co_return reply;
    }
    auto own = co_await commitInGroup(transaction);
    if (own && !own.value().isApplied && isOwnWrite(transaction, own.value())) {
        own.value().isApplied = true; // The committer had written it.
        own.value().version = newestVersion(own.value().currentRows);
    }
    co_return own;
}

auto GroupedStore::sendToCommitter(std::string committer, const Transaction& transaction) -> AsyncResult<TransactionReply>
{
    auto request = peers::messages::Request();
    *request.mutable_transaction() = toMessage(transaction);
    request.mutable_transaction()->set_is_grouped(true);
    const auto call = m_health.begin(partitionOf(transaction));
    const auto response = co_await m_peers.call(std::move(committer), std::move(request), s_committerTimeout);
    m_metrics.count("transactions_sent_to_committers", {{"outcome", response ? "answered" : "failed"}});
    if (!response) {
        m_health.abandon(call);
        co_return peers::PeerError::Unreachable;
    }
    const auto error = static_cast<StoreError>(response.value().store_error());
    m_health.end(call, response.value().store_error() == 0 ? std::error_code() : error);
    if (response.value().store_error() != 0) {
        co_return error;
    }
    auto reply = TransactionReply{.isApplied = response.value().is_applied(), .version = response.value().version(), .currentRows = {}};
    for (const auto& row : response.value().rows()) {
        reply.currentRows.push_back(fromMessage(row));
    }
    co_return reply;
}

auto GroupedStore::commitInGroup(Transaction transaction) -> AsyncResult<TransactionReply>
{
    const auto partition = partitionOf(transaction);
    auto& queue = m_queues[partition];
    const auto open = std::make_shared<OpenCall<TransactionReply>>(m_executor);
    queue.waiting.push_back(std::make_shared<Member>(Member{.transaction = std::move(transaction), .write = open}));
    if (queue.writers.count() < (m_health.isSlow() ? s_groupsInFlight : 1)) {
        framework::spawnTask(m_executor, "write_groups", writeGroups(partition, queue.writers.begin()));
    }
    while (!open->result) {
        co_await open->ended.wait(s_longWait);
    }
    co_return *open->result;
}

auto GroupedStore::writeGroups(std::string partition, framework::WorkCount::Token /*writer*/) -> Async<void>
{
    auto& queue = m_queues[partition];
    while (!queue.waiting.empty()) {
        auto group = TransactionGroup();
        const auto members = takeGroup(queue, group);
        m_metrics.record("transactions_in_group", static_cast<double>(members.size()));
        const auto reply = co_await write(group.merged());
        answerGroup(queue, group, members, reply);
    }
}

auto GroupedStore::takeGroup(Queue& queue, TransactionGroup& group) -> std::vector<MemberPtr>
{
    auto members = std::vector<MemberPtr>();
    while (!queue.waiting.empty()) {
        const auto& next = queue.waiting.front();
        if ((next->isAlone && !members.empty()) || !group.add(next->transaction)) {
            break;
        }
        members.push_back(next);
        queue.waiting.pop_front();
        if (members.back()->isAlone) {
            break;
        }
    }
    return members;
}

auto GroupedStore::answerGroup(Queue& queue, const TransactionGroup& group, const std::vector<MemberPtr>& members,
                               const Result<TransactionReply>& reply) -> void
{
    const auto isRejected = !reply && reply.error() == StoreError::Rejected && members.size() > 1;
    const auto replies = reply ? group.split(reply.value()) : std::vector<std::optional<TransactionReply>>(members.size());
    for (auto index = members.size(); index > 0; --index) { // Those to be tried again keep their order.
        const auto& member = members[index - 1];
        if (isRejected || (reply && !replies[index - 1])) {
            member->isAlone = isRejected;
            queue.waiting.push_front(member);
            continue;
        }
        member->write->result = reply ? Result<TransactionReply>(*replies[index - 1]) : reply;
        member->write->ended.notify();
    }
}

auto GroupedStore::write(Transaction transaction) -> AsyncResult<TransactionReply>
{
    const auto open = startWrite(transaction);
    // While this host is short of processor time, the answer may have arrived: reading back would only add to what it has to do.
    const auto isLateAt = m_clock.now() + s_promptAnswer;
    while (!open->result && m_clock.now() < isLateAt) {
        co_await open->ended.wait(std::chrono::ceil<Milliseconds>(isLateAt - m_clock.now()));
    }
    if (!isDecided(*open)) {
        co_return co_await settle(transaction, open);
    }
    co_return *open->result;
}

auto GroupedStore::isDecided(const OpenCall<TransactionReply>& write) -> bool
{
    return write.result && (*write.result || write.result->error() != StoreError::OutcomeUnknown);
}

auto GroupedStore::writeOnce(Transaction transaction) -> AsyncResult<TransactionReply>
{
    const auto call = m_health.begin(partitionOf(transaction));
    auto reply = co_await m_store.transact(std::move(transaction));
    m_health.end(call, errorOf(reply));
    co_return reply;
}

auto GroupedStore::startWrite(const Transaction& transaction) -> OpenWrite
{
    auto open = std::make_shared<OpenCall<TransactionReply>>(m_executor);
    framework::spawnTask(m_executor, "start_write", [this, open, transaction]() -> Async<void> {
        open->result = co_await writeOnce(transaction);
        open->ended.notify();
    });
    return open;
}

auto GroupedStore::settle(const Transaction& transaction, OpenWrite open) -> AsyncResult<TransactionReply>
{
    auto isRepeated = false;
    auto interval = s_promptAnswer;
    m_unsettled.insert(open);
    for (auto repeats = 0; !isDecided(*open) && !m_health.isSlow();) {
        const auto read = startReadBack(transaction);
        if (!read->result) {
            co_await read->ended.wait(interval);
        }
        if (isDecided(*open) || m_health.isSlow()) {
            break;
        }
        if (!read->result || !*read->result) { // The store is away.
            if (open->result) {
                break;
            }
            co_await open->ended.wait(interval); // Until the store returns, at the most.
            interval = std::min(interval * 2, s_longestReadBack);
            continue;
        }
        const auto& rows = read->result->value();
        if (areWritten(transaction, rows)) {
            m_metrics.count("writes_read_back", {{"outcome", "found"}});
            m_unsettled.erase(open);
            co_return TransactionReply{.isApplied = true, .version = newestVersion(rows), .currentRows = {}};
        }
        if (++repeats > s_mostRepeats) {
            break;
        }
        m_metrics.count("writes_read_back", {{"outcome", "repeated"}});
        m_unsettled.erase(open);
        open = startWrite(transaction);
        m_unsettled.insert(open);
        isRepeated = true;
        interval = std::min(interval * 2, s_longestReadBack); // The partition may have too many calls.
        if (!open->result) {
            co_await open->ended.wait(interval);
        }
    }
    while (!open->result) {
        co_await open->ended.wait(s_longWait);
    }
    m_unsettled.erase(open);
    auto reply = *open->result;
    if (isRepeated && reply && !reply.value().isApplied && isOwnWrite(transaction, reply.value())) {
        reply.value().isApplied = true; // An earlier attempt had taken effect.
        reply.value().version = newestVersion(reply.value().currentRows);
    }
    co_return reply;
}

auto GroupedStore::startReadBack(const Transaction& transaction) -> OpenRead
{
    auto open = std::make_shared<OpenCall<std::vector<Row>>>(m_executor);
    framework::spawnTask(m_executor, "start_read_back", [this, open, puts = transaction.puts]() mutable -> Async<void> {
        puts.resize(std::min(puts.size(), s_mostRowsReadBack));
        open->result = co_await readBack(std::move(puts));
        open->ended.notify();
    });
    return open;
}

auto GroupedStore::readBack(std::vector<Put> puts) -> AsyncResult<std::vector<Row>>
{
    auto rows = std::vector<Row>();
    for (const auto& put : puts) {
        const auto page = co_await list({.table = put.address.table,
                                         .partition = put.address.partition,
                                         .from = put.address.key,
                                         .to = put.address.key + '!',
                                         .limit = 1});
        if (!page) {
            co_return page.error();
        }
        rows.insert(rows.end(), page.value().rows.begin(), page.value().rows.end());
    }
    co_return rows;
}

} // namespace laburnummill::store
