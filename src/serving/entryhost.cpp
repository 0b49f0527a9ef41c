#include "serving/entryhost.h"

#include "framework/global/digest.h"
#include "framework/logging/boundedsink.h"
#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::LogLevel;
using framework::Milliseconds;

/// Part of a host's memory that turns may take; the rest is for connections and requests.
constexpr auto s_turnMemoryShare = 0.12;

constexpr auto s_upkeepPeriod = Milliseconds(1'000);
constexpr auto s_limitsPeriod = Milliseconds(50);
/// Seconds between two log lines with all counters.
constexpr auto s_figureSeconds = 10;

constexpr auto s_logPeriod = Milliseconds(100);

/// The balancer asks once a second and takes a host out after two misses; callers come until then.
constexpr auto s_drainTime = Milliseconds(2'500);

/// Kept free of the grace for the process to end.
constexpr auto s_endReserve = Milliseconds(700);

constexpr auto s_stopPoll = Milliseconds(50);
constexpr auto s_announceRetry = Milliseconds(1'000);
constexpr auto s_hostRows = 500;

auto newIncarnation() -> std::uint64_t
{
    // The wall clock orders starts on one host; random bits tell starts within its resolution apart.
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return (static_cast<std::uint64_t>(now) << 16U) | (std::random_device()() & 0xffffU);
}

auto turnMemory(const HostSettings& settings) -> std::size_t
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * s_turnMemoryShare);
}

} // namespace

EntryHost::EntryHost(asio::io_context& context, HostSettings settings, framework::Metrics& metrics, const Outside& outside)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_incarnation(newIncarnation())
    , m_knowledge(outside.rows, m_clock)
    , m_limiter(framework::hash64(m_settings.host, m_incarnation))
    , m_shared{.knowledge = m_knowledge, .limiter = m_limiter, .quarantine = m_quarantine, .directStore = outside.store}
    , m_link(context.get_executor(), m_settings, m_incarnation, m_clock, m_metrics, m_shared)
    , m_store(outside.store, m_link, m_clock)
    , m_programs(context.get_executor(), m_clock, m_settings.host, m_incarnation)
    , m_journal(context.get_executor(), m_programs, m_store, m_link, m_clock, turnMemory(m_settings))
    , m_budgets(context.get_executor(), m_programs, m_store, m_link, m_clock)
    , m_follower(context.get_executor(), outside.store, outside.feed, m_store.directWay(), m_knowledge, outside.rows, m_clock)
    , m_choice(framework::hash64(m_settings.host, m_incarnation))
    , m_connections(context.get_executor(), m_clock)
    , m_exchange(m_connections, outside.wire, m_clock)
    , m_parts{.executor = context.get_executor(),
              .clock = m_clock,
              .metrics = m_metrics,
              .knowledge = m_knowledge,
              .limiter = m_limiter,
              .journal = m_journal,
              .budgets = m_budgets,
              .choice = m_choice,
              .exchange = m_exchange,
              .latencies = m_latencies,
              .quarantine = m_quarantine,
              .dataCentre = m_settings.dataCentre,
              .admission = m_admission,
              .fleetSize = [this] { return m_link.fleetSize(); },
              .isIsolated = [this] { return m_link.isIsolated(); }}
    , m_callerSide{.parts = m_parts, .wire = outside.wire}
    , m_acceptor(context, peers::endpointOf(m_settings.callerAddress).value())
    , m_readyPort(context.get_executor(), peers::endpointOf(m_settings.readyAddress).value(), [this](std::string_view) {
        return StatusAnswer{.status = isReady() ? 200U : 503U, .contentType = "text/plain", .body = {}};
    })
{
    m_shared.store = &m_store;
    m_shared.journal = &m_journal;
    m_shared.budgets = &m_budgets;
    if (m_settings.metricsAddress) {
        m_metricsPort = std::make_unique<StatusPort>(context.get_executor(), peers::endpointOf(*m_settings.metricsAddress).value(),
                                                     [this](std::string_view path) { return describe(path); });
    }
}

auto EntryHost::start() -> void
{
    framework::logEvent(LogLevel::Info, "serving", "started",
                        {{"host", m_settings.host}, {"dataCentre", m_settings.dataCentre}, {"incarnation", m_incarnation}});
    m_follower.start();
    m_link.start();
    m_readyPort.start();
    if (m_metricsPort) {
        m_metricsPort->start();
    }
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    asio::co_spawn(m_context, upkeepLoop(), asio::detached);
    asio::co_spawn(m_context, logLoop(), asio::detached);
    asio::co_spawn(m_context, announce(), asio::detached);
}

auto EntryHost::stop() -> void
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_callerSide.isStopping = true;
    framework::logEvent(LogLevel::Info, "serving", "stopping", {{"openRequests", m_callerSide.openRequests}});
    asio::co_spawn(m_context, stopping(), asio::detached);
}

auto EntryHost::reload(HostSettings settings) -> void
{
    const auto isSame = settings.callerAddress == m_settings.callerAddress && settings.peerAddress == m_settings.peerAddress;
    framework::logEvent(LogLevel::Info, "serving", "settings_reloaded", {{"addressesUnchanged", isSame}});
    for (const auto& seed : settings.seedPeers) {
        m_link.learn(seed);
    }
    m_settings.stopGrace = settings.stopGrace;
}

auto EntryHost::acceptLoop() -> Async<void>
{
    while (m_acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (m_acceptor.is_open()) {
                framework::logEvent(LogLevel::Warning, "serving", "accept_failed", {{"reason", error.message()}});
            }
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        const auto connection = std::make_shared<CallerConnection>(std::move(socket), m_callerSide);
        m_callers.push_back(connection);
        asio::co_spawn(
            m_context, [connection]() -> Async<void> { co_await connection->run(); }, asio::detached);
    }
}

auto EntryHost::upkeepLoop() -> Async<void>
{
    auto timer = asio::steady_timer(m_context);
    auto sinceUpkeep = Milliseconds(0);
    auto seconds = 0;
    while (true) {
        timer.expires_after(s_limitsPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        applyLimits();
        m_link.setReady(isReady());
        sinceUpkeep += s_limitsPeriod;
        if (sinceUpkeep < s_upkeepPeriod) {
            continue;
        }
        sinceUpkeep = Milliseconds(0);
        if (++seconds % s_figureSeconds == 0) {
            logFigures();
        }
        m_connections.sweep();
        m_programs.removeExpired();
        m_quarantine.removeExpired(m_clock.now());
        std::erase_if(m_callers, [](const auto& caller) { return caller.expired(); });
        if (!m_isCatchingUp) {
            asio::co_spawn(m_context, catchUp(), asio::detached);
        }
    }
}

auto EntryHost::catchUp() -> Async<void>
{
    m_isCatchingUp = true;
    co_await m_budgets.recordUnrecordedGrants();
    co_await m_journal.writeOverdueReplicas();
    m_isCatchingUp = false;
}

auto EntryHost::applyLimits() -> void
{
    const auto& routes = m_knowledge.routes();
    if (!routes || routes->version() == m_limitsVersion) {
        return;
    }
    m_limitsVersion = routes->version();
    auto names = std::set<std::string>();
    for (const auto& account : routes->configuration().accounts) {
        names.insert(account.name);
        m_limiter.setLimit(account.name, account.ratePerSecond, account.burst, m_clock.now());
    }
    m_limiter.keepOnly(names);
}

auto EntryHost::logLoop() -> Async<void>
{
    auto timer = asio::steady_timer(m_context);
    while (true) {
        timer.expires_after(s_logPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        framework::flushLog();
    }
}

auto EntryHost::announce() -> Async<void>
{
    auto timer = asio::steady_timer(m_context);
    while (!m_isStopping) {
        auto transaction = store::Transaction();
        transaction.puts.push_back(
            {.address = {.table = "hosts", .partition = {}, .key = m_settings.host}, .value = m_settings.peerAddress});
        const auto written = co_await m_store.transact(std::move(transaction));
        const auto hosts = co_await m_store.list({.table = "hosts", .partition = {}, .from = {}, .to = {}, .limit = s_hostRows});
        if (hosts) {
            for (const auto& row : hosts.value().rows) {
                m_link.learn(row.value);
            }
        }
        if (written && hosts) {
            co_return;
        }
        timer.expires_after(s_announceRetry);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto EntryHost::stopping() -> Async<void>
{
    const auto began = m_clock.now();
    const auto end = began + m_settings.stopGrace - s_endReserve;
    auto timer = asio::steady_timer(m_context);
    m_link.sayGoodbye();
    while (m_clock.now() < end) {
        const auto isDrained = m_clock.now() >= began + s_drainTime;
        if (isDrained) {
            closeIdleCallers();
        }
        if (isDrained && m_callerSide.openRequests == 0 && m_journal.unwritten() == 0) {
            break;
        }
        timer.expires_after(s_stopPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    framework::logEvent(LogLevel::Info, "serving", "stopped",
                        {{"openRequests", m_callerSide.openRequests}, {"unwrittenTurns", m_journal.unwritten()}});
    framework::flushLog();
    m_context.stop();
}

auto EntryHost::isReady() const -> bool
{
    return !m_isStopping && m_knowledge.isComplete() && !m_link.isIsolated();
}

auto EntryHost::closeIdleCallers() -> void
{
    for (const auto& weak : m_callers) {
        if (const auto caller = weak.lock()) {
            caller->closeIfIdle();
        }
    }
}

auto EntryHost::setGauges() const -> void
{
    m_metrics.setGauge("open_requests", m_callerSide.openRequests);
    m_metrics.setGauge("unwritten_turns", static_cast<double>(m_journal.unwritten()));
    m_metrics.setGauge("programs", static_cast<double>(m_programs.size()));
    m_metrics.setGauge("backend_connections_made", static_cast<double>(m_connections.made()));
    m_metrics.setGauge("store_calls_relayed", static_cast<double>(m_store.relayedCalls()));
    m_metrics.setGauge("log_lines_dropped", static_cast<double>(framework::droppedLogLines()));
    m_metrics.setGauge("hosts", m_link.fleetSize());
}

auto EntryHost::logFigures() const -> void
{
    auto figures = framework::Json::object();
    const auto document = m_metrics.toJson();
    for (const auto& counter : document["counters"]) {
        auto name = counter["name"].get<std::string>();
        for (const auto& [label, value] : counter["labels"].items()) {
            name += " " + value.get<std::string>();
        }
        figures[name] = counter["value"];
    }
    framework::logEvent(LogLevel::Info, "serving", "figures", {{"counters", std::move(figures)}});
}

auto EntryHost::describe(std::string_view path) const -> StatusAnswer
{
    setGauges();
    if (path != "/dump") {
        return {.status = 200, .contentType = "text/plain", .body = m_metrics.exposition()};
    }
    auto servers = framework::Json::array();
    for (const auto& [id, backend] : m_knowledge.backends().all()) {
        servers.push_back({{"id", id},
                           {"service", backend->entry.service},
                           {"running", backend->running},
                           {"elsewhere", backend->runningElsewhere},
                           {"failureShare", backend->health.failureShare(m_clock.now())},
                           {"failureShareOfAll", backend->health.failureShareOfAll(m_clock.now())},
                           {"overdue", backend->overdue(m_clock.now())},
                           {"overdueElsewhere", backend->health.overdueElsewhere()},
                           {"slowness", backend->health.slowness()},
                           {"isDraining", backend->entry.isDraining}});
    }
    const auto document = framework::Json{{"host", m_settings.host},
                                          {"isReady", isReady()},
                                          {"configuration", m_knowledge.routes() ? m_knowledge.routes()->version() : 0},
                                          {"servers", std::move(servers)},
                                          {"metrics", m_metrics.toJson()}};
    return {.status = 200, .contentType = "application/json", .body = framework::dumpJson(document)};
}

} // namespace laburnummill::serving
