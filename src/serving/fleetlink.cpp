#include "serving/fleetlink.h"

#include "framework/global/digest.h"
#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "peers/requestpurpose.h"
#include "store/storemessages.h"

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

/// A host that did not answer a call is not called again during this time, even if its heartbeats arrive through other hosts:
/// the direct network path may be broken.
constexpr auto s_suspectPeriod = Milliseconds(2'000);

/// Every tenth heartbeat is also sent to hosts that were removed from the table.
constexpr auto s_heartbeatsPerProbe = std::uint64_t{10};

constexpr auto s_fetchTimeout = Milliseconds(400);

/// Budgets ask for the homes of all programs several times a second; which hosts are reachable changes less often.
constexpr auto s_homeCandidatesAge = Milliseconds(50);

/// Heartbeats, by which an outage is judged, arrive at longer intervals.
constexpr auto s_outageVerdictAge = Milliseconds(40);

/// Corresponds to four consecutive heartbeats missed from every host of every other data centre.
constexpr auto s_isolationTimeout = Milliseconds(800);

/// While the store is unreachable, a turn is held by the host that ran it and this many others.
constexpr auto s_replicaHosts = std::size_t{2};

/// Number of addresses in one heartbeat; enough for a new host to learn all addresses soon.
constexpr auto s_addressesPerHeartbeat = std::size_t{8};
constexpr auto s_heartbeatsPerAddressList = std::uint64_t{5};

} // namespace

FleetLink::FleetLink(asio::any_io_executor executor, const HostSettings& settings, peers::PeerSockets sockets, std::uint64_t incarnation,
                     const framework::IClock& clock, framework::Metrics& metrics, SharedState& state)
    : m_executor(executor)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_startedAt(static_cast<std::uint64_t>(framework::unixMilliseconds(clock.wallTime())))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_state(state)
    , m_table(settings.peerAddress)
    , m_membership(settings.host)
    , m_port(executor, std::move(sockets), state.bufferMemory, state.connectionLimit.maxHosts(), *this)
{
    for (const auto& seed : settings.seedPeers) {
        addHost(seed);
    }
}

auto FleetLink::start() -> void
{
    m_port.start();
    framework::spawnLoop(m_executor, "heartbeats_sent", [this] { return heartbeatLoop(); });
}

auto FleetLink::stop() -> void
{
    m_isStopped = true;
    m_port.stop();
}

auto FleetLink::announceLeave() -> void
{
    m_isLeaving = true;
    m_homeCandidatesAt = {};
    sendToAll();
}

auto FleetLink::announceEnd() -> void
{
    m_hasEnded = true;
    sendToAll();
}

auto FleetLink::isIsolated() const -> bool
{
    if (m_state.store->directWay().isSound(m_clock.now())) {
        return false;
    }
    const auto now = m_clock.now();
    const auto isFar = [this](const peers::Peer& peer) {
        return !peer.last.data_centre().empty() && peer.last.data_centre() != m_settings.dataCentre && !peer.last.is_leaving();
    };
    return m_membership.hasOtherDataCentre(m_settings.dataCentre) && !m_table.hasHeartbeatSince(now - s_isolationTimeout, isFar);
}

auto FleetLink::isCutOff() const -> bool
{
    return !m_state.store->directWay().isSound(m_clock.now()) && outageScope() == programs::OutageScope::CutOff;
}

auto FleetLink::heartbeatLoop() -> Async<void>
{
    auto timer = asio::steady_timer(m_executor);
    while (!m_isStopped) {
        const auto now = m_clock.now();
        updateMembership();
        refreshAwayPartitions();
        const auto isStoreChanged =
            m_announcedStore != m_state.store->directWay().isProven(now) || m_announcedAwayPartitions != ownAwayPartitions();
        const auto isUrgent = isStoreChanged || m_countUpdates.hasUrgentUpdate(m_state.limiter, now);
        if (m_pace.isDue(fleetSize(), isUrgent, now)) {
            m_pace.markSent(now);
            sendToAll();
            refreshBackends();
            m_state.serverLimits.update(m_table, now);
            m_state.overload.update(m_table, now);
            m_state.rollouts->update(m_table);
            recordFormerReleaseOutage();
            m_table.removeExpired(now);
            std::erase_if(m_suspects, [this](const auto& suspect) { return !m_table.isKnown(suspect.first); });
            m_state.limiter.setReachableFraction(m_table.reachableFraction(now), now);
        }
        timer.expires_after(peers::HeartbeatSchedule::pollInterval(fleetSize()));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto FleetLink::outageVerdict() const -> const programs::OutageVerdict&
{
    if (const auto now = m_clock.now(); m_outageJudgedAt == framework::Instant{} || now >= m_outageJudgedAt + s_outageVerdictAge) {
        m_outageVerdict = m_membership.judge(now);
        m_outageJudgedAt = now;
    }
    return m_outageVerdict;
}

auto FleetLink::updateMembership() -> void
{
    const auto& way = m_state.store->directWay();
    m_membership.update(way.isProven(m_clock.now()), m_clock.now());
    if (way.isSound(m_clock.now())) {
        m_hasLoggedOutage = false;
        return;
    }
    const auto& verdict = outageVerdict();
    if (m_hasLoggedOutage && verdict.scope == m_loggedScope) {
        return;
    }
    m_hasLoggedOutage = true;
    m_loggedScope = verdict.scope;
    framework::logEvent(framework::LogLevel::Warning, "peers", "store_outage",
                        {{"scope", framework::nameOf(programs::s_outageScopeNames, verdict.scope)},
                         {"members", verdict.members},
                         {"silent", verdict.silent},
                         {"mayReachStore", verdict.host},
                         {"isRegisterKnown", m_membership.isRegisterKnown()}});
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
        const auto forwardedDatagram = heartbeat.SerializeAsString();
        for (const auto& address : targets.relays) {
            m_port.sendHeartbeat(address, forwardedDatagram);
        }
    }
    if (m_sequence % s_heartbeatsPerProbe == 0) {
        for (const auto& address : m_table.removedAddresses()) {
            m_port.sendHeartbeat(address, datagram);
        }
    }
}

auto FleetLink::forward(messages::Heartbeat heartbeat) -> void
{
    heartbeat.set_is_to_pass_on(false);
    heartbeat.set_was_passed_on(true);
    const auto datagram = heartbeat.SerializeAsString();
    for (const auto& address : m_table.addressesIn(m_settings.dataCentre)) {
        m_port.sendHeartbeat(address, datagram);
    }
}

auto FleetLink::makeHeartbeat() -> messages::Heartbeat
{
    auto heartbeat = messages::Heartbeat();
    heartbeat.set_host(m_settings.host);
    heartbeat.set_incarnation(m_incarnation);
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_started_at(m_startedAt);
    heartbeat.set_is_first_start(m_settings.isFirstStart);
    heartbeat.set_data_centre(m_settings.dataCentre);
    heartbeat.set_address(m_settings.peerAddress);
    heartbeat.set_is_ready(m_isReady);
    heartbeat.set_is_leaving(m_isLeaving);
    heartbeat.set_has_ended(m_hasEnded);
    heartbeat.set_is_registered(m_isRegistered);
    heartbeat.set_lacks_servers(m_state.connector->isCutOff());
    m_announcedStore = m_state.store->directWay().isProven(m_clock.now());
    heartbeat.set_reaches_store(m_announcedStore);
    m_announcedAwayPartitions = ownAwayPartitions();
    heartbeat.set_away_partitions(m_announcedAwayPartitions);
    heartbeat.set_configuration_version(m_state.fleetState.routes() ? m_state.fleetState.routes()->version() : 0);
    heartbeat.set_operator_version(m_state.fleetState.operatorTable().newestRowVersion());
    heartbeat.set_backend_version(m_state.fleetState.backendTable().newestRowVersion());
    heartbeat.set_unwritten_turns(static_cast<std::uint32_t>(m_state.journal->unwritten()));
    for (const auto& admission : m_countUpdates.take(m_state.limiter.admitted())) {
        auto* use = heartbeat.add_accounts();
        use->set_account(admission.account);
        use->set_admitted(admission.admitted);
        use->set_newly(admission.newly);
    }
    addBackends(heartbeat);
    addStatedLoads(heartbeat);
    addCrashes(heartbeat);
    addSpentPrograms(heartbeat);
    addOutageGrants(heartbeat);
    // Only addresses of reachable hosts are sent; otherwise the address of a removed host would circulate forever.
    const auto addresses = reachableHosts();
    const auto addressCount = m_sequence % s_heartbeatsPerAddressList == 0 ? std::min(addresses.size(), s_addressesPerHeartbeat) : 0;
    for (auto index = std::size_t{0}; index < addressCount; ++index) {
        heartbeat.add_known_addresses(addresses[(m_sequence * s_addressesPerHeartbeat + index) % addresses.size()]);
    }
    return heartbeat;
}

auto FleetLink::onHeartbeat(const messages::Heartbeat& heartbeat) -> void
{
    const auto now = m_clock.now();
    const auto update = m_table.receive(heartbeat, now);
    if (update.isStale) {
        return;
    }
    m_membership.applyHeartbeat(heartbeat, now);
    if (update.isFirst) {
        framework::logEvent(framework::LogLevel::Info, "peers", "host_heard",
                            {{"host", heartbeat.host()}, {"address", heartbeat.address()}, {"dataCentre", heartbeat.data_centre()}});
    }
    if (heartbeat.is_to_pass_on()) {
        forward(heartbeat);
    }
    const auto suspect = m_suspects.find(heartbeat.address());
    if (suspect != m_suspects.end() && (!heartbeat.was_passed_on() || now > suspect->second + s_suspectPeriod)) {
        m_suspects.erase(suspect);
    }
    for (const auto& address : heartbeat.known_addresses()) {
        m_table.addHost(address, now);
    }
    for (const auto& use : update.admitted) {
        m_state.limiter.recordRemote(use.account, use.requests, now);
    }
    receiveCrashes(heartbeat);
    receiveSpentPrograms(heartbeat);
    if (heartbeat.operator_version() > m_state.fleetState.operatorTable().newestRowVersion()) {
        framework::spawnTask(m_executor, "fetch_changes", fetchChanges(heartbeat.address(), Table::Operator, heartbeat.reaches_store()));
    }
    if (heartbeat.backend_version() > m_state.fleetState.backendTable().newestRowVersion()) {
        framework::spawnTask(m_executor, "fetch_changes", fetchChanges(heartbeat.address(), Table::Backends, heartbeat.reaches_store()));
    }
}

auto FleetLink::fetchChanges(std::string address, Table table, bool isAuthoritative) -> Async<void>
{
    const auto& open = m_fetches[static_cast<std::size_t>(table)];
    if (open.count() > 0) {
        co_return;
    }
    const auto fetch = open.begin();
    auto& fleetState = m_state.fleetState;
    const auto& copy = table == Table::Operator ? fleetState.operatorTable() : fleetState.backendTable();
    auto request = messages::Request();
    request.mutable_changes()->set_table(table == Table::Operator ? s_operatorTableName : s_backendTableName);
    request.mutable_changes()->set_after(copy.newestRowVersion());
    const auto response = co_await call(address, std::move(request), s_fetchTimeout);
    if (!response) {
        co_return; // The next heartbeat from any host triggers another attempt.
    }
    auto rows = std::vector<store::Row>();
    for (const auto& row : response.value().rows()) {
        rows.push_back(store::fromMessage(row));
    }
    m_metrics.count("rows_from_peers", {}, rows.size());
    if (table == Table::Operator) {
        fleetState.applyOperatorRows(rows, 0, false, "peer");
    } else {
        fleetState.applyBackendRows(rows, 0, false, isAuthoritative);
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

auto FleetLink::homeCandidates() const -> const std::vector<HomeCandidate>&
{
    const auto now = m_clock.now();
    if (m_homeCandidatesAt != framework::Instant{} && now < m_homeCandidatesAt + s_homeCandidatesAge) {
        return m_homeCandidates;
    }
    m_homeCandidatesAt = now;
    m_homeCandidates.clear();
    const auto add = [this](const std::string& address) {
        m_homeCandidates.push_back({.address = address, .seed = framework::hash64(address)});
    };
    for (const auto* peer : reachablePeers()) {
        if (!peer->last.is_leaving() && peer->last.data_centre() == m_settings.dataCentre) {
            add(peer->address);
        }
    }
    if (!m_isLeaving) {
        add(m_settings.peerAddress);
    }
    return m_homeCandidates;
}

auto FleetLink::home(std::string_view program) const -> std::string
{
    const auto& candidates = homeCandidates();
    const auto rank = [program](const HomeCandidate& candidate) {
        return std::pair(framework::hash64(program, candidate.seed), std::string_view(candidate.address));
    };
    return candidates.empty() ? m_settings.peerAddress : std::ranges::min_element(candidates, {}, rank)->address;
}

auto FleetLink::replicaHosts(std::string_view program) const -> std::vector<std::string>
{
    auto near = ranksOf(program, true);
    std::erase_if(near, [this](const auto& rank) { return rank.second == m_settings.peerAddress; });
    std::ranges::sort(near);
    auto far = ranksOf(program, false);
    std::ranges::sort(far);
    // First one host of another data centre, then hosts of the own data centre, then further ones of other data centres.
    auto ordered = std::vector<std::string>();
    const auto add = [&ordered](const auto& rank) { ordered.emplace_back(rank.second); };
    std::ranges::for_each(far | std::views::take(1), add);
    std::ranges::for_each(near, add);
    std::ranges::for_each(far | std::views::drop(1), add);
    ordered.resize(std::min(ordered.size(), s_replicaHosts));
    return ordered;
}

auto FleetLink::committer(std::string_view partition) const -> std::string
{
    auto ranks = Ranks();
    const auto add = [&](const std::string& address) {
        ranks.emplace_back(framework::hash64(partition, framework::hash64(address)), address);
    };
    for (const auto* peer : reachablePeers()) {
        if (!peer->last.is_leaving() && peer->last.reaches_store()) {
            add(peer->address);
        }
    }
    if (!m_isLeaving || ranks.empty()) {
        add(m_settings.peerAddress);
    }
    return std::string(std::ranges::min_element(ranks)->second);
}

auto FleetLink::unreachableHosts() const -> int
{
    return std::max(m_table.countUnreachable(m_suspects, m_clock.now()), m_membership.countSilent(m_clock.now()));
}

auto FleetLink::sightings() const -> std::vector<peers::HostSighting>
{
    return m_table.sightings();
}

auto FleetLink::mayHaveForgottenSupport() const -> bool
{
    return !m_settings.isFirstStart && !m_state.store->directWay().hasAnswered();
}

auto FleetLink::addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string
{
    return m_table.addressOf(host, incarnation, m_clock.now());
}

auto FleetLink::hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool
{
    return m_table.hasWrittenAllTurns(address, incarnation, m_clock.now());
}

auto FleetLink::call(std::string address, messages::Request request, Milliseconds timeout) -> AsyncResult<messages::Response>
{
    const auto purpose = std::string(framework::nameOf(peers::s_requestPurposeNames, peers::purposeOf(request)));
    m_metrics.count("peer_calls", {{"purpose", purpose}});
    auto response = co_await m_port.call(address, std::move(request), timeout);
    if (!response) {
        m_metrics.count("peer_calls_failed", {{"purpose", purpose}});
        m_homeCandidatesAt = {};
        m_suspects[address] = m_clock.now(); // It is not called again until a heartbeat is received from it.
    }
    co_return response;
}

} // namespace laburnummill::serving
