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

constexpr auto s_firstAvoidance = Milliseconds(250);

/// The followers of changes try the direct way about once a second anyway.
constexpr auto s_longestAvoidance = Milliseconds(2'000);

/// A peer's own call to the store takes up to its timeout (700 ms) and the way there and back.
constexpr auto s_relayTimeout = Milliseconds(900);

/// A store that refuses all calls of a host serves none within this time.
constexpr auto s_recentSuccess = Milliseconds(500);

constexpr auto s_helpersTried = std::size_t{2};

} // namespace

auto DirectWay::succeeded(Instant now) -> void
{
    m_succeededAt = now;
    m_failuresInARow = 0;
    m_hasAnswered = true;
    m_avoidedUntil = {};
}

auto DirectWay::failed(Instant now) -> void
{
    const auto doublings = std::min(m_failuresInARow, 3);
    ++m_failuresInARow;
    m_avoidedUntil = now + std::min(s_firstAvoidance * (1 << doublings), s_longestAvoidance);
}

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
    if (m_way.isUsable(m_clock.now())) {
        auto& direct = m_health.isSlow() ? m_patient : m_direct;
        const auto startedAt = m_clock.now();
        auto reply = co_await direct.transact(transaction);
        note(reply ? std::error_code() : reply.error(), startedAt);
        if (reply) {
            co_return reply;
        }
        error = reply.error();
        if (!isRelayOfUse(error, startedAt)) {
            co_return error;
        }
        isUnknown = error == StoreError::OutcomeUnknown;
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
    if (m_way.isUsable(m_clock.now())) {
        const auto startedAt = m_clock.now();
        auto page = co_await m_direct.list(request);
        note(page ? std::error_code() : page.error(), startedAt);
        if (page || page.error() == StoreError::Rejected) {
            co_return page;
        }
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

auto RoutedStore::isRelayOfUse(const std::error_code& error, Instant startedAt) const -> bool
{
    if (error == StoreError::Rejected) {
        return false; // Another host's call would be rejected as well.
    }
    // Where the store serves other calls, too many wait for this one's partition, and further ones would only add to these.
    const auto since = error == StoreError::Overloaded ? startedAt - s_recentSuccess : startedAt;
    return error == StoreError::Unavailable || !(m_health.isSlow() || m_way.hasSucceededSince(since));
}

auto RoutedStore::note(const std::error_code& error, Instant startedAt) -> void
{
    if (!error || error == StoreError::Rejected) {
        m_way.succeeded(m_clock.now()); // A call that is rejected was answered: the fault is in the call.
        m_isReachable = true;
        return;
    }
    if (!isRelayOfUse(error, startedAt)) {
        return; // The way is sound.
    }
    if (m_way.isSound()) {
        framework::logEvent(framework::LogLevel::Warning, "store", "direct_way_lost", {{"reason", framework::codeOf(error)}});
    }
    m_way.failed(m_clock.now());
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
