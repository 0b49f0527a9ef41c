#include "store/routedstore.h"

#include "framework/global/errorcategory.h"
#include "framework/logging/log.h"
#include "store/storemessages.h"

#include <algorithm>

namespace laburnummill::store {

namespace {

using framework::AsyncResult;
using framework::Instant;
using framework::Milliseconds;

/// A peer's own call to the store takes up to its timeout (700 ms) and the way there and back.
constexpr auto s_relayTimeout = Milliseconds(900);

constexpr auto s_helpersTried = std::size_t{2};

} // namespace

RoutedStore::RoutedStore(IStore& direct, IStore& patient, const StoreHealth& health, peers::IPeers& peers, const framework::IClock& clock)
    : m_direct(direct)
    , m_patient(patient)
    , m_health(health)
    , m_peers(peers)
    , m_clock(clock)
{}

auto RoutedStore::transact(Transaction transaction) -> AsyncResult<TransactionReply>
{
    auto isUnknown = false;
    auto error = std::error_code(StoreError::Unavailable);
    const auto partition = partitionOf(transaction);
    if (m_way.isUsable(partition, m_clock.now())) {
        auto& direct = m_health.isSlow() ? m_patient : m_direct;
        const auto startedAt = m_clock.now();
        auto reply = co_await direct.transact(transaction);
        note(partition, reply ? std::error_code() : reply.error(), startedAt);
        if (reply) {
            co_return reply;
        }
        error = reply.error();
        if (!isRelayOfUse(partition, error, startedAt)) {
            co_return error;
        }
        isUnknown = error == StoreError::OutcomeUnknown;
    } else if (m_way.isFailureOfPartition(partition, m_clock.now())) {
        co_return error;
    }
    auto request = peers::messages::Request();
    *request.mutable_transaction() = toMessage(transaction);
    const auto response = co_await relay(std::move(request));
    if (!response) {
        m_isReachable = false;
        co_return isUnknown ? std::error_code(StoreError::OutcomeUnknown) : response.error();
    }
    auto reply = TransactionReply{.isApplied = response.value().is_applied(), .version = response.value().version(), .currentRows = {}};
    for (const auto& row : response.value().rows()) {
        reply.currentRows.push_back(fromMessage(row));
    }
    if (!reply.isApplied && isUnknown && isOwnWrite(transaction, reply)) {
        reply.isApplied = true; // The first try had taken effect.
        reply.version = reply.currentRows.front().version;
    }
    co_return reply;
}

auto RoutedStore::list(ListRequest request) -> AsyncResult<RowPage>
{
    if (m_way.isUsable(request.partition, m_clock.now())) {
        const auto startedAt = m_clock.now();
        auto page = co_await m_direct.list(request);
        note(request.partition, page ? std::error_code() : page.error(), startedAt);
        if (page || page.error() == StoreError::Rejected) {
            co_return page;
        }
    }
    if (m_way.isFailureOfPartition(request.partition, m_clock.now())) {
        co_return StoreError::Unavailable;
    }
    auto message = peers::messages::Request();
    *message.mutable_listing() = toMessage(request);
    const auto response = co_await relay(std::move(message));
    if (!response) {
        m_isReachable = false;
        co_return response.error();
    }
    auto page = RowPage{.rows = {}, .version = response.value().version(), .hasMore = response.value().has_more()};
    for (const auto& row : response.value().rows()) {
        page.rows.push_back(fromMessage(row));
    }
    co_return page;
}

auto RoutedStore::isRelayOfUse(const std::string& partition, const std::error_code& error, Instant startedAt) const -> bool
{
    // Another host's call would be rejected as well, or would not reach the partition either.
    return error != StoreError::Rejected && m_way.isFailure(error, startedAt, m_health.isSlow()) &&
           !m_way.isFailureOfPartition(partition, m_clock.now());
}

auto RoutedStore::note(const std::string& partition, const std::error_code& error, Instant startedAt) -> void
{
    if (!error || error == StoreError::Rejected) {
        m_way.succeeded(partition, m_clock.now()); // A call that is rejected was answered: the fault is in the call.
        m_isReachable = true;
        return;
    }
    if (!m_way.isFailure(error, startedAt, m_health.isSlow())) {
        return; // The way is sound.
    }
    if (!m_way.isFailing(partition)) {
        framework::logEvent(framework::LogLevel::Warning, "store", "partition_fails",
                            {{"partition", partition}, {"reason", framework::codeOf(error)}});
    }
    const auto wasSound = m_way.isSound(m_clock.now());
    m_way.failed(partition, m_clock.now());
    if (wasSound && !m_way.isSound(m_clock.now())) {
        framework::logEvent(framework::LogLevel::Warning, "store", "direct_way_lost", {{"reason", framework::codeOf(error)}});
    }
}

auto RoutedStore::relay(peers::messages::Request request) -> AsyncResult<peers::messages::Response>
{
    auto error = std::error_code(StoreError::Unavailable);
    auto helpers = m_peers.storeProxies();
    helpers.resize(std::min(helpers.size(), s_helpersTried));
    for (const auto& helper : helpers) {
        auto response = co_await m_peers.call(helper, request, s_relayTimeout);
        if (!response) {
            error = StoreError::OutcomeUnknown;
            continue;
        }
        if (response.value().store_error() == 0) {
            ++m_relayedCalls;
            m_isReachable = true;
            co_return response;
        }
        error = static_cast<StoreError>(response.value().store_error());
        if (error == StoreError::Rejected) {
            break;
        }
    }
    co_return error;
}

auto isOwnWrite(const Transaction& transaction, const TransactionReply& reply) -> bool
{
    if (transaction.puts.empty() || reply.currentRows.empty()) {
        return false;
    }
    return std::ranges::all_of(transaction.puts, [&reply](const Put& put) {
        return std::ranges::any_of(reply.currentRows,
                                   [&put](const Row& row) { return row.address == put.address && row.value == put.value; });
    });
}

} // namespace laburnummill::store
