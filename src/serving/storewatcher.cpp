#include "serving/storewatcher.h"

#include "framework/global/errorcategory.h"
#include "framework/global/tasks.h"
#include "framework/logging/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::LogLevel;
using framework::Milliseconds;

/// How long the store may delay its response to a call for changes (long polling). A dead connection is detected after this
/// time plus the call's timeout; until then, heartbeats of other hosts announce changes.
constexpr auto s_longPollMilliseconds = 2'000;

/// Changes occur in bursts; reading them in batches saves calls.
constexpr auto s_batchInterval = Milliseconds(100);

constexpr auto s_retryDelay = Milliseconds(400);
constexpr auto s_rowsPerPage = 500;

} // namespace

StoreWatcher::StoreWatcher(asio::any_io_executor executor, store::IStore& direct, store::IChangeFeed& feed, store::DirectWay& way,
                           FleetState& fleetState, const IRowDecoder& decoder, const framework::IClock& clock)
    : m_executor(std::move(executor))
    , m_direct(direct)
    , m_feed(feed)
    , m_way(way)
    , m_fleetState(fleetState)
    , m_decoder(decoder)
    , m_clock(clock)
{}

auto StoreWatcher::start() -> void
{
    framework::spawnLoop(m_executor, "operator_table", [this] { return watchTable(m_decoder.operatorTable(), true); });
    framework::spawnLoop(m_executor, "backend_table", [this] { return watchTable(m_decoder.backendTable(), false); });
}

auto StoreWatcher::watchTable(std::string table, bool isOperatorTable) -> Async<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto needsFullRead = true;
    while (!m_isStopped) {
        const auto result = needsFullRead ? co_await readAll(table, isOperatorTable) : co_await readChanges(table, isOperatorTable);
        recordResult(result ? std::error_code() : result.error());
        if (!result && result.error() == store::StoreError::HistoryGone) {
            framework::logEvent(LogLevel::Info, "store", "history_gone", {{"table", table}});
            needsFullRead = true;
            continue;
        }
        needsFullRead = needsFullRead && !result;
        timer.expires_after(result ? s_batchInterval : s_retryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto StoreWatcher::readAll(std::string table, bool isOperatorTable) -> AsyncResult<void>
{
    auto rows = std::vector<store::Row>();
    auto request =
        store::ListRequest{.table = table, .partition = {}, .from = {}, .to = {}, .limit = s_rowsPerPage, .acceptsUnreadableRows = true};
    auto version = std::uint64_t{0};
    auto hasMore = true;
    while (hasMore) {
        auto page = co_await m_direct.list(request);
        if (!page) {
            co_return page.error();
        }
        // Rows that change between two pages are included in the changes after the first page's version.
        version = version == 0 ? page.value().version : std::min(version, page.value().version);
        hasMore = page.value().hasMore && !page.value().rows.empty();
        std::ranges::move(page.value().rows, std::back_inserter(rows));
        if (hasMore) {
            request.from = rows.back().address.key + '!';
        }
    }
    apply(rows, version, true, isOperatorTable);
    co_return framework::success();
}

auto StoreWatcher::readChanges(std::string table, bool isOperatorTable) -> AsyncResult<void>
{
    const auto& copy = isOperatorTable ? m_fleetState.operatorTable() : m_fleetState.backendTable();
    // A store that has returned answers a long poll only at the next change; the grace period of expired entries starts before.
    const auto wait = m_isStoreUnreachable ? 0 : s_longPollMilliseconds;
    auto page = co_await m_feed.changes({.table = table, .after = copy.version(), .waitMilliseconds = wait});
    if (!page) {
        co_return page.error();
    }
    apply(page.value().rows, page.value().version, false, isOperatorTable);
    co_return framework::success();
}

auto StoreWatcher::apply(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, bool isOperatorTable) -> void
{
    if (isOperatorTable) {
        m_fleetState.applyOperatorRows(rows, version, isSnapshot, "store");
    } else {
        m_fleetState.applyBackendRows(rows, version, isSnapshot, false);
    }
}

auto StoreWatcher::recordResult(const std::error_code& error) -> void
{
    if (!error || error == store::StoreError::HistoryGone) {
        m_way.succeeded({}, m_clock.now());
        if (m_isStoreUnreachable) {
            m_isStoreUnreachable = false;
            m_fleetState.backends().markStoreAvailable(m_clock.now());
            framework::logEvent(LogLevel::Info, "store", "regained");
        }
        return;
    }
    m_way.failed({}, m_clock.now());
    if (!m_isStoreUnreachable) {
        m_isStoreUnreachable = true;
        m_fleetState.backends().markStoreUnavailable();
        framework::logEvent(LogLevel::Warning, "store", "lost", {{"reason", framework::codeOf(error)}});
    }
}

} // namespace laburnummill::serving
