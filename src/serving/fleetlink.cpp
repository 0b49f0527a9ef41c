#include "serving/fleetlink.h"

#include "framework/global/digest.h"
#include "framework/logging/log.h"
#include "store/storemessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;
namespace messages = peers::messages;

/// A host that did not answer is not asked again for so long, though others pass its heartbeats on: the path between the
/// two may be cut.
constexpr auto s_suspicion = Milliseconds(2'000);

/// Every tenth heartbeat goes to hosts that were forgotten as well.
constexpr auto s_beatsPerTrace = std::uint64_t{10};

constexpr auto s_catchUpTimeout = Milliseconds(400);

/// Four heartbeats in a row of all hosts of all other data centres missed.
constexpr auto s_isolatedAfter = Milliseconds(800);

/// Hosts that were cut off or without a store record what they lent within this after their return.
constexpr auto s_storeMissedMemory = Milliseconds(10'000);

/// Turns are kept for a minute on the platform's routes; clocks of hosts differ by seconds.
constexpr auto s_turnRetention = Milliseconds(70'000);

/// The host that ran a turn and two others hold it while the store is away.
constexpr auto s_turnHolders = 3;
constexpr auto s_keepers = std::size_t{s_turnHolders - 1};

/// Addresses told in one heartbeat: enough that a new host soon knows all.
constexpr auto s_addressesTold = std::size_t{8};
constexpr auto s_beatsPerAddresses = std::uint64_t{5};

/// One failure weighs 0.1 in a host's share and counts for about 5 s.
constexpr auto s_leastFailureTold = 0.02;

} // namespace

FleetLink::FleetLink(asio::any_io_executor executor, const HostSettings& settings, std::uint64_t incarnation,
                     const framework::IClock& clock, framework::Metrics& metrics, SharedState& state)
    : m_executor(executor)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_startedAt(static_cast<std::uint64_t>(framework::unixMilliseconds(clock.wallTime())))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_state(state)
    , m_table(settings.peerAddress)
    , m_port(executor, peers::parseEndpoint(settings.peerListen.value_or(settings.peerAddress)).value(), *this)
{
    for (const auto& seed : settings.seedPeers) {
        addHost(seed);
    }
}

auto FleetLink::start() -> void
{
    m_port.start();
    asio::co_spawn(m_executor, beatLoop(), asio::detached);
}

auto FleetLink::stop() -> void
{
    m_isStopped = true;
    m_port.stop();
}

auto FleetLink::sayGoodbye() -> void
{
    m_isLeaving = true;
    sendToAll();
}

auto FleetLink::isIsolated() const -> bool
{
    if (m_state.store->directWay().isSound()) {
        return false;
    }
    const auto now = m_clock.now();
    const auto isFar = [this](const peers::Peer& peer) {
        return !peer.last.data_centre().empty() && peer.last.data_centre() != m_settings.dataCentre && !peer.last.is_leaving();
    };
    return m_table.isAnyKnown(isFar) && !m_table.hasHeartbeatSince(now - s_isolatedAfter, isFar);
}

auto FleetLink::beatLoop() -> Async<void>
{
    auto timer = asio::steady_timer(m_executor);
    while (!m_isStopped) {
        const auto now = m_clock.now();
        if (m_pace.isDue(fleetSize(), m_countNews.hasUrgentUpdate(m_state.limiter, now), now)) {
            m_pace.markSent(now);
            sendToAll();
            refreshBackends();
            noteStoreMissed();
            m_table.removeExpired(now);
            std::erase_if(m_suspects, [this](const auto& suspect) { return !m_table.isKnown(suspect.first); });
            m_state.limiter.setReachableFraction(m_table.reachableFraction(now), now);
        }
        timer.expires_after(peers::HeartbeatSchedule::pollInterval(fleetSize()));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto FleetLink::sendToAll() -> void
{
    ++m_sequence;
    auto heartbeat = makeHeartbeat();
    const auto datagram = heartbeat.SerializeAsString();
    const auto targets = m_table.targets(m_settings.dataCentre, m_sequence, m_clock.now());
    for (const auto& address : targets.direct) {
        m_port.sendHeartbeat(address, datagram);
    }
    if (!targets.relays.empty()) {
        heartbeat.set_is_to_pass_on(true);
        const auto passedOn = heartbeat.SerializeAsString();
        for (const auto& address : targets.relays) {
            m_port.sendHeartbeat(address, passedOn);
        }
    }
    if (m_sequence % s_beatsPerTrace == 0) {
        for (const auto& address : m_table.removedAddresses()) {
            m_port.sendHeartbeat(address, datagram);
        }
    }
}

auto FleetLink::passOn(messages::Heartbeat heartbeat) -> void
{
    heartbeat.set_is_to_pass_on(false);
    heartbeat.set_was_passed_on(true);
    const auto datagram = heartbeat.SerializeAsString();
    for (const auto& address : m_table.addressesIn(m_settings.dataCentre)) {
        m_port.sendHeartbeat(address, datagram);
    }
}

auto FleetLink::addBackends(messages::Heartbeat& beat) const -> void
{
    const auto now = m_clock.now();
    for (const auto& [id, backend] : m_state.knowledge.backends().all()) {
        const auto failures = backend->health.failureShare(now);
        const auto isTold = failures >= s_leastFailureTold;
        if (backend->running == 0 && !isTold) {
            continue;
        }
        auto* use = beat.add_backends();
        use->set_backend(peers::backendHash(id));
        use->set_running(static_cast<std::uint32_t>(backend->running));
        use->set_overdue(static_cast<std::uint32_t>(backend->overdue(now)));
        use->set_failure_permille(isTold ? static_cast<std::uint32_t>(failures * peers::s_permille) : 0);
    }
}

auto FleetLink::makeHeartbeat() -> messages::Heartbeat
{
    auto beat = messages::Heartbeat();
    beat.set_host(m_settings.host);
    beat.set_incarnation(m_incarnation);
    beat.set_sequence(m_sequence);
    beat.set_started_at(m_startedAt);
    beat.set_is_first_start(m_settings.isFirstStart);
    beat.set_data_centre(m_settings.dataCentre);
    beat.set_address(m_settings.peerAddress);
    beat.set_is_ready(m_isReady);
    beat.set_is_leaving(m_isLeaving);
    beat.set_reaches_store(m_state.store->directWay().isSound());
    beat.set_configuration_version(m_state.knowledge.routes() ? m_state.knowledge.routes()->version() : 0);
    beat.set_operator_version(m_state.knowledge.operatorTable().newestRow());
    beat.set_backend_version(m_state.knowledge.backendTable().newestRow());
    beat.set_unwritten_turns(static_cast<std::uint32_t>(m_state.journal->unwritten()));
    for (const auto& told : m_countNews.take(m_state.limiter.admitted())) {
        auto* use = beat.add_accounts();
        use->set_account(told.account);
        use->set_admitted(told.admitted);
        use->set_newly(told.newly);
    }
    addBackends(beat);
    for (const auto& crash : m_state.quarantine.toTell(m_clock.now())) {
        auto* told = beat.add_crashes();
        told->set_fingerprint(crash.fingerprint);
        told->set_crashes(crash.crashes);
    }
    // Only hosts that are heard are passed on: one that is gone would be told around for ever.
    const auto addresses = reachableHosts();
    const auto told = m_sequence % s_beatsPerAddresses == 0 ? std::min(addresses.size(), s_addressesTold) : 0;
    for (auto index = std::size_t{0}; index < told; ++index) {
        beat.add_known_addresses(addresses[(m_sequence * s_addressesTold + index) % addresses.size()]);
    }
    return beat;
}

auto FleetLink::refreshBackends() -> void
{
    const auto told = m_table.remoteBackendLoads(m_clock.now());
    for (const auto& [id, backend] : m_state.knowledge.backends().all()) {
        const auto found = told.find(peers::backendHash(id));
        const auto elsewhere = found == told.end() ? peers::RemoteBackendLoad() : found->second;
        backend->runningElsewhere = elsewhere.running;
        backend->health.setElsewhere(elsewhere.failureShares, elsewhere.overdue);
    }
}

auto FleetLink::onHeartbeat(const messages::Heartbeat& heartbeat) -> void
{
    const auto now = m_clock.now();
    const auto news = m_table.receive(heartbeat, now);
    if (news.isStale) {
        return;
    }
    if (news.isFirst) {
        framework::logEvent(framework::LogLevel::Info, "peers", "host_heard",
                            {{"host", heartbeat.host()}, {"address", heartbeat.address()}, {"dataCentre", heartbeat.data_centre()}});
    }
    if (heartbeat.is_to_pass_on()) {
        passOn(heartbeat);
    }
    const auto suspect = m_suspects.find(heartbeat.address());
    if (suspect != m_suspects.end() && (!heartbeat.was_passed_on() || now > suspect->second + s_suspicion)) {
        m_suspects.erase(suspect);
    }
    for (const auto& address : heartbeat.known_addresses()) {
        m_table.addHost(address, now);
    }
    for (const auto& use : news.admitted) {
        m_state.limiter.recordRemote(use.account, use.requests, now);
    }
    auto crashes = std::vector<SuspectedCrash>();
    for (const auto& crash : heartbeat.crashes()) {
        crashes.push_back({.fingerprint = crash.fingerprint(), .crashes = crash.crashes()});
    }
    m_state.quarantine.recordRemote(heartbeat.address(), crashes, now);
    if (heartbeat.operator_version() > m_state.knowledge.operatorTable().newestRow()) {
        asio::co_spawn(m_executor, catchUp(heartbeat.address(), Table::Operator, heartbeat.reaches_store()), asio::detached);
    }
    if (heartbeat.backend_version() > m_state.knowledge.backendTable().newestRow()) {
        asio::co_spawn(m_executor, catchUp(heartbeat.address(), Table::Backends, heartbeat.reaches_store()), asio::detached);
    }
}

auto FleetLink::catchUp(std::string address, Table table, bool isCertain) -> Async<void>
{
    auto& isBusy = m_isCatchingUp[static_cast<std::size_t>(table)];
    if (isBusy) {
        co_return;
    }
    isBusy = true;
    auto& knowledge = m_state.knowledge;
    const auto& copy = table == Table::Operator ? knowledge.operatorTable() : knowledge.backendTable();
    auto request = messages::Request();
    request.mutable_changes()->set_table(table == Table::Operator ? s_operatorRows : s_backendRows);
    request.mutable_changes()->set_after(copy.newestRow());
    const auto response = co_await call(address, std::move(request), s_catchUpTimeout);
    isBusy = false;
    if (!response) {
        co_return; // The next heartbeat of any host starts another try.
    }
    auto rows = std::vector<store::Row>();
    for (const auto& row : response.value().rows()) {
        rows.push_back(store::fromMessage(row));
    }
    m_metrics.count("rows_from_peers", {}, rows.size());
    if (table == Table::Operator) {
        knowledge.takeOperatorRows(rows, 0, false, "peer");
    } else {
        knowledge.takeBackendRows(rows, 0, false, isCertain);
    }
}

auto FleetLink::reachablePeers() const -> std::vector<const peers::Peer*>
{
    auto peers = m_table.reachablePeers(m_clock.now());
    std::erase_if(peers, [this](const auto* peer) { return m_suspects.contains(peer->address); });
    return peers;
}

auto FleetLink::reachableHosts() const -> std::vector<std::string>
{
    auto near = std::vector<std::string>();
    auto far = std::vector<std::string>();
    for (const auto* peer : reachablePeers()) {
        (peer->last.data_centre() == m_settings.dataCentre ? near : far).push_back(peer->address);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

auto FleetLink::ranksOf(std::string_view key, bool isOwnDataCentre) const -> Ranks
{
    auto ranks = Ranks();
    const auto add = [&](const std::string& address) { ranks.emplace_back(framework::hash64(key, framework::hash64(address)), address); };
    for (const auto* peer : reachablePeers()) {
        if (!peer->last.is_leaving() && (peer->last.data_centre() == m_settings.dataCentre) == isOwnDataCentre) {
            add(peer->address);
        }
    }
    if (isOwnDataCentre && !m_isLeaving) {
        add(m_settings.peerAddress);
    }
    return ranks;
}

auto FleetLink::home(std::string_view program) const -> std::string
{
    const auto near = ranksOf(program, true);
    return near.empty() ? m_settings.peerAddress : std::string(std::ranges::min_element(near)->second);
}

auto FleetLink::replicaHosts(std::string_view program) const -> std::vector<std::string>
{
    auto near = ranksOf(program, true);
    std::erase_if(near, [this](const auto& rank) { return rank.second == m_settings.peerAddress; });
    std::ranges::sort(near);
    auto far = ranksOf(program, false);
    std::ranges::sort(far);
    // One far away, then near ones, then another one far away.
    auto ordered = std::vector<std::string>();
    const auto add = [&ordered](const auto& rank) { ordered.emplace_back(rank.second); };
    std::ranges::for_each(far | std::views::take(1), add);
    std::ranges::for_each(near, add);
    std::ranges::for_each(far | std::views::drop(1), add);
    ordered.resize(std::min(ordered.size(), s_keepers));
    return ordered;
}

auto FleetLink::storeProxies() const -> std::vector<std::string>
{
    auto near = std::vector<std::string>();
    auto far = std::vector<std::string>();
    for (const auto* peer : reachablePeers()) {
        if (peer->last.reaches_store() && !peer->last.is_leaving()) {
            (peer->last.data_centre() == m_settings.dataCentre ? near : far).push_back(peer->address);
        }
    }
    // Hosts take turns, so that one is not asked by all.
    if (near.size() > 1) {
        std::ranges::rotate(near, near.begin() + static_cast<std::ptrdiff_t>(m_sequence % near.size()));
    }
    if (far.size() > 1) {
        std::ranges::rotate(far, far.begin() + static_cast<std::ptrdiff_t>(m_sequence % far.size()));
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

auto FleetLink::isAnyHostUnreachable() const -> bool
{
    return !m_suspects.empty() || m_table.reachableFraction(m_clock.now()) < 1;
}

auto FleetLink::mayHaveUnknownTurns() const -> bool
{
    const auto now = m_clock.now();
    const auto since = static_cast<std::uint64_t>(framework::unixMilliseconds(m_clock.wallTime() - s_turnRetention));
    const auto ownRestart = !m_settings.isFirstStart && m_startedAt > since ? 1 : 0;
    const auto restarted = m_table.countRestartedSince(since, now) + ownRestart;
    return !m_suspects.empty() || m_table.isAnyHostUnaccountedFor(now) || restarted >= s_turnHolders;
}

auto FleetLink::wasStoreImpairedRecently() const -> bool
{
    return m_storeMissedAt != framework::Instant{} && m_clock.now() < m_storeMissedAt + s_storeMissedMemory;
}

auto FleetLink::noteStoreMissed() -> void
{
    const auto misses = [](const auto* peer) { return !peer->last.reaches_store() || peer->last.unwritten_turns() > 0; };
    const auto isMissed = !m_state.store->directWay().isSound() || m_state.journal->unwritten() > 0 || isAnyHostUnreachable() ||
                          std::ranges::any_of(m_table.reachablePeers(m_clock.now()), misses);
    if (isMissed) {
        m_storeMissedAt = m_clock.now();
    }
}

auto FleetLink::hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool
{
    return m_table.hasWrittenAllTurns(address, incarnation, m_clock.now());
}

auto FleetLink::call(std::string address, messages::Request request, Milliseconds timeout) -> AsyncResult<messages::Response>
{
    m_metrics.count("peer_calls");
    auto response = co_await m_port.call(address, std::move(request), timeout);
    if (!response) {
        m_metrics.count("peer_calls_failed");
        m_suspects[address] = m_clock.now(); // Nobody waits for it again until it is heard.
    }
    co_return response;
}

} // namespace laburnummill::serving
