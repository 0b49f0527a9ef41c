#include "serving/storefollower.h"

#include "framework/global/errorcategory.h"
#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

/// How long the store may hold a call for changes. A connection gone silent is noticed after this and the call's
/// timeout; heartbeats of other hosts tell of changes before.
constexpr auto s_holdMilliseconds = 2'000;

/// Changes come in bursts; reading them together saves calls.
constexpr auto s_gatherPause = Milliseconds(100);

constexpr auto s_retryPause = Milliseconds(400);
constexpr auto s_pageRows = 500;

} // namespace

StoreFollower::StoreFollower(asio::any_io_executor executor, store::IStore& direct, store::IChangeFeed& feed, store::DirectWay& way,
                             FleetKnowledge& knowledge, const IRowDecoder& decoder, const framework::IClock& clock)
    : m_executor(std::move(executor))
    , m_direct(direct)
    , m_feed(feed)
    , m_way(way)
    , m_knowledge(knowledge)
    , m_decoder(decoder)
    , m_clock(clock)
{}

auto StoreFollower::start() -> void
{
    asio::co_spawn(m_executor, follow(m_decoder.operatorTable(), true), asio::detached);
    asio::co_spawn(m_executor, follow(m_decoder.backendTable(), false), asio::detached);
}

auto StoreFollower::follow(std::string table, bool isOperators) -> Async<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto isWholeNeeded = true;
    while (!m_isStopped) {
        const auto done = isWholeNeeded ? co_await readWhole(table, isOperators) : co_await readChanges(table, isOperators);
        note(done ? std::error_code() : done.error());
        if (!done && done.error() == store::StoreError::HistoryGone) {
            framework::logEvent(LogLevel::Info, "store", "history_gone", {{"table", table}});
            isWholeNeeded = true;
            continue;
        }
        isWholeNeeded = isWholeNeeded && !done;
        m_knowledge.backends().expire(m_clock.now());
        timer.expires_after(done ? s_gatherPause : s_retryPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto StoreFollower::readWhole(std::string table, bool isOperators) -> AsyncResult<void>
{
    auto rows = std::vector<store::Row>();
    auto request = store::ListRequest{.table = table, .partition = {}, .from = {}, .to = {}, .limit = s_pageRows};
    auto version = std::uint64_t{0};
    auto hasMore = true;
    while (hasMore) {
        auto page = co_await m_direct.list(request);
        if (!page) {
            co_return page.error();
        }
        // Rows that change between two pages come with the changes after the first page's version.
        version = version == 0 ? page.value().version : std::min(version, page.value().version);
        hasMore = page.value().hasMore && !page.value().rows.empty();
        std::ranges::move(page.value().rows, std::back_inserter(rows));
        if (hasMore) {
            request.from = rows.back().address.key + '!';
        }
    }
    take(rows, version, true, isOperators);
    co_return framework::success();
}

auto StoreFollower::readChanges(std::string table, bool isOperators) -> AsyncResult<void>
{
    const auto& copy = isOperators ? m_knowledge.operatorTable() : m_knowledge.backendTable();
    auto page = co_await m_feed.changes({.table = table, .after = copy.version(), .waitMilliseconds = s_holdMilliseconds});
    if (!page) {
        co_return page.error();
    }
    take(page.value().rows, page.value().version, false, isOperators);
    co_return framework::success();
}

auto StoreFollower::take(const std::vector<store::Row>& rows, std::uint64_t version, bool isWhole, bool isOperators) -> void
{
    if (isOperators) {
        m_knowledge.takeOperatorRows(rows, version, isWhole, "store");
    } else {
        m_knowledge.takeBackendRows(rows, version, isWhole, false);
    }
}

auto StoreFollower::note(const std::error_code& error) -> void
{
    if (!error || error == store::StoreError::HistoryGone) {
        m_way.succeeded();
        if (m_isStoreLost) {
            m_isStoreLost = false;
            m_knowledge.backends().markStoreAvailable(m_clock.now());
            framework::logEvent(LogLevel::Info, "store", "regained");
        }
        return;
    }
    m_way.failed(m_clock.now());
    if (!m_isStoreLost) {
        m_isStoreLost = true;
        m_knowledge.backends().markStoreUnavailable();
        framework::logEvent(LogLevel::Warning, "store", "lost", {{"reason", framework::codeOf(error)}});
    }
}

} // namespace laburnummill::serving
