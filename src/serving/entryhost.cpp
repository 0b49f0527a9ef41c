#include "serving/entryhost.h"

#include "framework/global/digest.h"
#include "framework/global/tasks.h"
#include "framework/logging/boundedsink.h"
#include "framework/logging/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

#include <sys/resource.h>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::LogLevel;
using framework::Milliseconds;

/// Share of a host's memory available for turns; the rest is for connections and requests.
constexpr auto s_turnMemoryShare = 0.12;

/// Share of a host's memory for turns that wait for the store, and for copies of other hosts' turns.
constexpr auto s_unstoredShare = 0.35;

constexpr auto s_maintenancePeriod = Milliseconds(1'000);
constexpr auto s_limitsPeriod = Milliseconds(50);
/// Seconds between two log events with all counters.
constexpr auto s_metricsLogSeconds = 10;

constexpr auto s_logPeriod = Milliseconds(100);

constexpr auto s_stopPoll = Milliseconds(50);
constexpr auto s_stopLogInterval = Milliseconds(1'000);
/// Within the time that ShutdownSchedule leaves for the exit of the process.
constexpr auto s_departureTimeout = Milliseconds(400);

constexpr auto s_announceRetry = Milliseconds(1'000);
constexpr auto s_longestAnnounceRetry = Milliseconds(4'000);
constexpr auto s_hostRows = 500;

constexpr auto s_defaultRetention = Milliseconds(60'000);
constexpr auto s_clockAllowance = Milliseconds(10'000);

/// Number of descriptors that the process may use.
auto usableDescriptors(const HostSettings& settings) -> std::uint64_t
{
    auto limit = rlimit();
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return settings.descriptors > 0 ? std::min<std::uint64_t>(settings.descriptors, limit.rlim_cur) : limit.rlim_cur;
}

auto newIncarnation() -> std::uint64_t
{
    // The wall clock orders the starts of one host; random bits distinguish starts within the clock's resolution.
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return (static_cast<std::uint64_t>(now) << 16U) | (std::random_device()() & 0xffffU);
}

auto turnMemory(const HostSettings& settings) -> std::size_t
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * s_turnMemoryShare);
}

auto unstoredMemory(const HostSettings& settings) -> std::size_t
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * s_unstoredShare);
}

/// The longest time for which a route retains turns, and an allowance for clock differences of a few seconds between hosts.
auto turnRetention(const routing::FleetConfiguration& configuration) -> Milliseconds
{
    auto longest = s_defaultRetention;
    for (const auto& route : configuration.routes) {
        longest = std::max(longest, route.keepsTurns ? Milliseconds(route.retention) : Milliseconds(0));
    }
    return longest + s_clockAllowance;
}

} // namespace

EntryHost::EntryHost(asio::io_context& context, HostSettings settings, framework::Metrics& metrics, ExternalInterfaces external)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_responsiveClock(m_clock, s_limitsPeriod)
    , m_metrics(metrics)
    , m_bufferMemory(m_settings.memoryBytes)
    , m_incarnation(newIncarnation())
    , m_fleetState(external.rows, m_clock)
    , m_limiter(framework::hash64(m_settings.host, m_incarnation))
    , m_serverLimits(m_settings.peerAddress, m_fleetState.backends(), m_metrics)
    , m_overload(m_fleetState.backends(), m_metrics)
    , m_shared{.fleetState = m_fleetState,
               .limiter = m_limiter,
               .crashes = m_crashes,
               .serverLimits = m_serverLimits,
               .overload = m_overload,
               .directStore = external.store,
               .bufferMemory = m_bufferMemory,
               .connectionLimit = scheduling::ConnectionLimit(usableDescriptors(m_settings), m_settings.memoryBytes)}
    , m_link(context.get_executor(), m_settings,
             external.peerSockets
                 ? std::move(*external.peerSockets)
                 : peers::bindPeerSockets(context.get_executor(), {m_settings.peerListen.value_or(m_settings.peerAddress)}),
             m_incarnation, m_clock, m_metrics, m_shared)
    , m_routedStore(external.store, external.patientStore != nullptr ? *external.patientStore : external.store, m_storeHealth, m_link,
                    m_clock)
    , m_store(context.get_executor(), m_routedStore, m_storeHealth, m_link, m_responsiveClock, m_metrics)
    , m_returnProbe(context.get_executor(), external.store, m_routedStore.directWay(), m_storeHealth, m_clock, programs::storePartitions(),
                    [this] { m_store.onReturn(); })
    , m_programs(context.get_executor(), m_clock, m_settings.host, m_incarnation)
    , m_register(
          m_store, m_clock,
          {.host = m_settings.host, .address = m_settings.peerAddress, .incarnation = m_incarnation, .dataCentre = m_settings.dataCentre})
    , m_journal(context.get_executor(), m_programs, m_store, m_store, m_link, m_link, m_register, m_clock,
                {.cacheBytes = turnMemory(m_settings), .unstoredBytes = unstoredMemory(m_settings), .rowBytes = m_settings.storeRowBytes})
    , m_budgets(context.get_executor(), m_programs, m_store, m_store, m_link, m_clock,
                m_settings.overloadControl == OverloadControl::ByPrograms ? programs::TokenRequests::InAdvance
                                                                          : programs::TokenRequests::PerTurn)
    , m_storeWatcher(context.get_executor(), external.store, external.feed, m_routedStore.directWay(), m_fleetState, external.rows, m_clock)
    , m_rollouts(context.get_executor(), m_fleetState, external.rows, m_store, m_link, m_clock, m_metrics, m_settings.offersRollouts)
    , m_choice(framework::hash64(m_settings.host, m_incarnation))
    , m_directDialer(context.get_executor())
    , m_connector(context.get_executor(), external.dialer != nullptr ? *external.dialer : m_directDialer, m_fleetState.backends(), m_clock,
                  m_metrics, m_link)
    , m_connections(m_connector, m_clock)
    , m_backendClient(m_connections, external.wire, m_clock, m_bufferMemory)
    , m_loadProbes(context.get_executor(), m_backendClient, m_clock, m_metrics)
    , m_servingContext{.executor = context.get_executor(),
                       .clock = m_clock,
                       .metrics = m_metrics,
                       .fleetState = m_fleetState,
                       .limiter = m_limiter,
                       .journal = m_journal,
                       .budgets = m_budgets,
                       .choice = m_choice,
                       .serverLimits = m_serverLimits,
                       .overload = m_overload,
                       .rollouts = m_rollouts,
                       .backendClient = m_backendClient,
                       .bufferMemory = m_bufferMemory,
                       .loadProbes = m_loadProbes,
                       .latencies = m_latencies,
                       .crashes = m_crashes,
                       .shutdown = m_shutdown,
                       .dataCentre = m_settings.dataCentre,
                       .admission = m_admission,
                       .fleetSize = [this] { return m_link.fleetSize(); },
                       .isIsolated = [this] { return m_link.isIsolated(); },
                       .overloadControl = m_settings.overloadControl}
    , m_callerContext{.servingContext = m_servingContext, .wire = external.wire}
    , m_callers(context.get_executor(), peers::parseEndpoint(m_settings.callerAddress).value(), m_shared.connectionLimit, m_callerContext)
    , m_readinessServer(
          context.get_executor(), peers::parseEndpoint(m_settings.readyAddress).value(), "readiness",
          [this](std::string_view) { return StatusResponse{.status = isReady() ? 200U : 503U, .contentType = "text/plain", .body = {}}; })
{
    if (!m_settings.isFirstStart) {
        m_budgets.alternateGrants().expectEarlierGrants();
    }
    m_shared.store = &m_routedStore;
    m_shared.storeHealth = &m_storeHealth;
    m_shared.groupedStore = &m_store;
    m_shared.journal = &m_journal;
    m_shared.budgets = &m_budgets;
    m_shared.connector = &m_connector;
    m_shared.rollouts = &m_rollouts;
    if (m_settings.metricsAddress) {
        m_metricsServer = std::make_unique<StatusServer>(context.get_executor(), peers::parseEndpoint(*m_settings.metricsAddress).value(),
                                                         "metrics", [this](std::string_view path) { return statusResponse(path); });
    }
}

auto EntryHost::stop() -> void
{
    if (m_shutdown.hasBegun()) {
        return;
    }
    m_shutdown.begin(m_clock.now(), m_settings.stopGrace);
    framework::logEvent(LogLevel::Info, "serving", "stopping", {{"openRequests", m_callerContext.openRequests.count()}});
    framework::spawnLoop(m_context.get_executor(), "stop", [this] { return drainAndStop(); });
}

auto EntryHost::reload(HostSettings settings) -> void
{
    const auto isSame = settings.callerAddress == m_settings.callerAddress && settings.peerAddress == m_settings.peerAddress;
    framework::logEvent(LogLevel::Info, "serving", "settings_reloaded", {{"addressesUnchanged", isSame}});
    for (const auto& seed : settings.seedPeers) {
        m_link.addHost(seed);
    }
    m_settings.stopGrace = settings.stopGrace;
}

auto EntryHost::logDenials() -> void
{
    if (const auto denials = m_bufferMemory.denials(); denials > m_loggedDenials) {
        framework::logEvent(LogLevel::Warning, "serving", "memory_denied",
                            {{"denials", denials - std::exchange(m_loggedDenials, denials)},
                             {"usedBytes", m_bufferMemory.used()},
                             {"capacityBytes", m_bufferMemory.capacity()}});
    }
    if (const auto rejected = m_callers.rejected(); rejected > m_loggedRejections) {
        framework::logEvent(LogLevel::Warning, "serving", "connections_rejected",
                            {{"connections", rejected - std::exchange(m_loggedRejections, rejected)},
                             {"open", m_callers.count()},
                             {"limit", m_callers.limit()}});
    }
}

auto EntryHost::maintenanceLoop() -> Async<void>
{
    auto timer = asio::steady_timer(m_context);
    auto sinceMaintenance = Milliseconds(0);
    auto seconds = 0;
    while (true) {
        timer.expires_after(s_limitsPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        tick();
        applyLimits();
        m_connector.maintain();
        m_fleetState.backends().expire(m_clock.now());
        m_link.setReady(isReady());
        m_budgets.returnUnused();
        m_budgets.releaseUnused();
        sinceMaintenance += s_limitsPeriod;
        if (sinceMaintenance < s_maintenancePeriod) {
            continue;
        }
        sinceMaintenance = Milliseconds(0);
        if (++seconds % s_metricsLogSeconds == 0) {
            logMetrics();
        }
        m_connections.removeExpired();
        m_programs.removeExpired();
        m_crashes.removeExpired(m_clock.now());
        m_budgets.spentPrograms().removeExpired(m_clock.now());
        m_callers.maintain();
        logDenials();
        if (m_flushes.count() == 0) {
            framework::spawnTask(m_context, "flush_to_store", flushToStore());
        }
    }
}

auto EntryHost::flushToStore() -> Async<void>
{
    const auto flush = m_flushes.begin();
    co_await m_budgets.recordUnrecordedGrants();
    co_await m_journal.keepReplicas();
}

auto EntryHost::tick() -> void
{
    m_metrics.record("timer_delay_ms", static_cast<double>(m_responsiveClock.tick().count()));
}

auto EntryHost::applyLimits() -> void
{
    const auto& routes = m_fleetState.routes();
    if (!routes || routes->version() == m_limitsVersion) {
        return;
    }
    m_limitsVersion = routes->version();
    m_journal.setRetention(turnRetention(routes->configuration()));
    m_budgets.alternateGrants().setRetention(m_journal.retention());
    auto names = std::set<std::string>();
    for (const auto& account : routes->configuration().accounts) {
        names.insert(account.name);
        m_limiter.setLimit(account.name, account.ratePerSecond, account.burst, m_clock.now());
    }
    m_limiter.keepOnly(names);
}

auto EntryHost::logLoop() -> Async<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (true) {
        timer.expires_after(s_logPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        framework::flushLog();
    }
}

auto EntryHost::announce() -> Async<void>
{
    auto timer = asio::steady_timer(m_context);
    auto isWritten = false;
    auto retry = s_announceRetry;
    auto random = std::minstd_rand(std::random_device()());
    while (!m_shutdown.hasBegun()) {
        if (!isWritten) {
            auto transaction = store::Transaction();
            transaction.puts.push_back(
                {.address = {.table = "hosts", .partition = {}, .key = m_settings.host}, .value = m_settings.peerAddress});
            isWritten = static_cast<bool>(co_await m_store.transact(std::move(transaction)));
        }
        const auto hosts = co_await m_store.list({.table = "hosts", .partition = {}, .from = {}, .to = {}, .limit = s_hostRows});
        if (hosts) {
            for (const auto& row : hosts.value().rows) {
                m_link.addHost(row.value);
                // A write without an answer may have taken effect.
                isWritten = isWritten || (row.address.key == m_settings.host && row.value == m_settings.peerAddress);
            }
        }
        const auto isRegistered = co_await m_register.enter(m_journal.retention());
        if (isRegistered) {
            m_link.markRegistered();
            if (const auto registered = co_await m_register.read()) {
                m_link.applyRegister(registered.value());
            }
        }
        if (isWritten && hosts && isRegistered && m_link.isRegisterKnown()) {
            co_return;
        }
        // All hosts of a fleet may start together and write to one partition.
        timer.expires_after(retry + Milliseconds(random() % static_cast<unsigned>(retry.count())));
        retry = std::min(retry * 2, s_longestAnnounceRetry);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto EntryHost::drainAndStop() -> Async<void>
{
    const auto startedAt = m_clock.now();
    auto timer = asio::steady_timer(m_context);
    auto nextLogAt = startedAt;
    auto hasDeparted = false;
    m_link.announceLeave();
    m_budgets.stopHolding();
    m_journal.beginStop();
    while (!m_shutdown.mustEnd(m_clock.now())) {
        const auto haveBalancersNoticed = m_shutdown.haveBalancersNoticed(m_clock.now());
        const auto areCallersClosed = haveBalancersNoticed && m_callers.closeIdle();
        if (areCallersClosed && isDrained()) {
            if (hasDeparted) {
                break;
            }
            co_await depart();
            hasDeparted = true; // Requests that came meanwhile are refused first.
            continue;
        }
        if (m_clock.now() >= nextLogAt) {
            nextLogAt = m_clock.now() + s_stopLogInterval;
            logStop("stop_waits", startedAt, {{"for", stopWaitReason(haveBalancersNoticed, areCallersClosed)}});
        }
        timer.expires_after(s_stopPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    logStop("stopped", startedAt, {{"isGraceOver", m_shutdown.mustEnd(m_clock.now())}});
    framework::flushLog();
    m_context.stop();
}

auto EntryHost::isDrained() const -> bool
{
    return m_callerContext.openRequests.count() == 0 && !m_journal.isWriting() && m_journal.replicas() == 0 && m_link.relays() == 0 &&
           m_budgets.openTransfers() == 0 && !m_budgets.hasUnrecordedGrants() && !m_budgets.hasUnreleased();
}

auto EntryHost::depart() -> Async<void>
{
    m_shutdown.end(); // A turn that is accepted from now on would not be covered by the record.
    if (m_journal.unwritten() > 0) {
        co_return;
    }
    m_link.announceEnd();
    struct Departure
    {
        framework::Signal ended;
        bool isRecorded = false;
    };
    const auto departure = std::make_shared<Departure>(Departure{.ended = framework::Signal(m_context.get_executor())});
    framework::spawnTask(m_context, "depart", [this, departure]() -> Async<void> {
        departure->isRecorded = co_await m_register.leave();
        departure->ended.notify();
    });
    co_await departure->ended.wait(s_departureTimeout);
    framework::logEvent(LogLevel::Info, "serving", "departed", {{"isRecorded", departure->isRecorded}});
}

auto EntryHost::stopWaitReason(bool haveBalancersNoticed, bool areCallersClosed) const -> std::string_view
{
    if (m_callerContext.openRequests.count() > 0) {
        return "requests";
    }
    if (!haveBalancersNoticed) {
        return "load_balancers";
    }
    if (!areCallersClosed) {
        return "connections";
    }
    if (m_journal.isWriting() || m_journal.replicas() > 0) {
        return "unwritten_turns";
    }
    if (m_budgets.hasUnrecordedGrants()) {
        return "unrecorded_grants";
    }
    return m_link.relays() > 0 ? "relayed_connections" : "returned_tokens";
}

auto EntryHost::logStop(std::string_view event, framework::Instant startedAt, framework::Json fields) const -> void
{
    fields["openRequests"] = m_callerContext.openRequests.count();
    fields["relayedConnections"] = m_link.relays();
    fields["unwrittenTurns"] = m_journal.unwritten();
    fields["requestsSinceSignal"] = m_callerContext.requestsSinceSignal;
    fields["tookMs"] = std::chrono::duration_cast<Milliseconds>(m_clock.now() - startedAt).count();
    framework::logEvent(LogLevel::Info, "serving", event, std::move(fields));
}

auto EntryHost::isReady() const -> bool
{
    return !m_shutdown.hasBegun() && m_callers.isOpen() && m_fleetState.isComplete() && !m_link.isIsolated() && !m_link.isCutOff();
}

} // namespace laburnummill::serving
