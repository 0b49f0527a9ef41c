#include "testing/soak/gossip/gossipsoak.h"

#include <algorithm>

namespace laburnummill::testing {

using configuration::ChangeStep;
using configuration::WriteOutcome;
using framework::Milliseconds;
using gossip::GossipMessage;
using gossip::VersionedDocument;

namespace {

constexpr auto s_document = "configuration";
constexpr auto s_step = Milliseconds(100);
constexpr auto s_stepsPerTick = std::uint64_t{10};
constexpr auto s_inForceWithin = Milliseconds(4'000);
constexpr auto s_maxDelayMs = std::uint64_t{200};
constexpr auto s_lateDelayMs = std::uint64_t{20'000};
constexpr auto s_lossProbability = 0.02;
constexpr auto s_lateProbability = 0.002;
constexpr auto s_faultProbability = 0.01;
constexpr auto s_operationProbability = 0.03;
constexpr auto s_lostAnswerProbability = 0.3;
constexpr auto s_eventsKept = std::size_t{40};

} // namespace

GossipSoak::GossipSoak(std::uint64_t seed, SoakPlan plan)
    : m_plan(plan)
    , m_random(seed)
{
    for (auto dataCentre = std::size_t{0}; dataCentre < m_plan.dataCentres; ++dataCentre) {
        for (auto number = std::size_t{0}; number < m_plan.hostsEach; ++number) {
            const auto index = static_cast<std::uint16_t>(m_peers.size());
            m_peers.push_back({"host-" + std::to_string(index), "dc-" + std::to_string(dataCentre), {"host", index}});
        }
    }
    m_hosts.resize(m_peers.size());
    for (auto index = std::size_t{0}; index < m_hosts.size(); ++index) {
        m_hosts[index].peer = m_peers[index];
        m_hosts[index].tickPhase = below(s_stepsPerTick);
        boot(index);
    }
}

auto GossipSoak::boot(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    host.version = gossip::MonotonicVersion(m_plan.rejectsLowerVersion);
    host.highestSeen = 0;
    host.cleanSince = m_now;
    host.inbox.clear();
    host.core = std::make_unique<gossip::GossipCore>(host.peer, m_nextStamp++, m_random(), m_plan.gossip);
    auto hooks = gossip::DocumentHooks();
    hooks.current = [&host] { return VersionedDocument{host.version.version(), {}}; };
    hooks.offer = [this, &host](const VersionedDocument& document) { put(host, document.version); };
    host.core->addDocument(s_document, std::move(hooks));
    host.core->setPeers(m_peers);
}

auto GossipSoak::chance(double probability) -> bool
{
    return std::uniform_real_distribution<>()(m_random) < probability;
}

auto GossipSoak::below(std::uint64_t limit) -> std::uint64_t
{
    return m_random() % limit;
}

auto GossipSoak::note(std::string event) -> void
{
    m_events.push_back(std::to_string(m_step) + ": " + std::move(event));
    if (m_events.size() > s_eventsKept) {
        m_events.pop_front();
    }
}

auto GossipSoak::violate(const std::string& what) -> void
{
    if (m_violation.empty()) {
        m_violation = what;
        note("violated: " + what);
    }
}

auto GossipSoak::put(Host& host, std::uint64_t version) -> void
{
    if (!host.version.tryAdvance(version)) {
        return;
    }
    if (version < host.highestSeen) {
        violate("a version fell on " + host.peer.host);
    }
    host.highestSeen = std::max(host.highestSeen, version);
}

auto GossipSoak::injectFaults() -> void
{
    if (m_now >= m_cutUntil) {
        m_cut.clear();
    }
    if (!m_plan.faults || !chance(s_faultProbability)) {
        return;
    }
    const auto index = below(m_hosts.size());
    auto& host = m_hosts[index];
    const auto until = m_now + Milliseconds(below(15'000));
    switch (below(5)) {
    case 0:
        boot(index);
        note("restart " + host.peer.host);
        break;
    case 1:
        host.pausedUntil = until;
        note("pause " + host.peer.host);
        break;
    case 2:
        m_cut = host.peer.dataCentre;
        m_cutUntil = until;
        note("cut " + m_cut);
        break;
    case 3:
        m_storeDownUntil = until;
        note("store down");
        break;
    default:
        m_storeOldUntil = until;
        note("store answers old data");
        break;
    }
}

auto GossipSoak::startOperations() -> void
{
    if (!chance(s_operationProbability)) {
        return;
    }
    for (auto racing = below(2) + 1; racing > 0; --racing) {
        const auto index = below(m_hosts.size());
        auto attempt = configuration::ChangeAttempt(m_hosts[index].version.version(), std::to_string(m_nextChange++), m_plan.change);
        note("operator at " + m_hosts[index].peer.host + " offers change " + attempt.changeId());
        m_operations.push_back({index, std::move(attempt), ChangeStep::Read, m_now + Milliseconds(below(300))});
    }
}

auto GossipSoak::writeFor(Operation& operation) -> WriteOutcome
{
    if (m_now < m_storeDownUntil) {
        return WriteOutcome::Refused;
    }
    auto write = SoakStore::Write{m_now, operation.attempt.version(), operation.attempt.changeId(), operation.attempt.expectedRowVersion()};
    if (!m_plan.faults || !chance(s_lostAnswerProbability)) {
        return m_store.write(write);
    }
    if (chance(0.5)) {
        (void)m_store.write(write);
    } else if (chance(0.5)) {
        write.due = m_now + Milliseconds(below(2'000));
        m_store.writeLater(write);
    }
    return WriteOutcome::Unknown;
}

auto GossipSoak::advanceOperation(Operation& operation) -> void
{
    auto& attempt = operation.attempt;
    if (operation.next == ChangeStep::Write) {
        operation.next = attempt.handleWrite(writeFor(operation));
    } else if (m_now < m_storeDownUntil) {
        operation.next = attempt.handleReadFailure();
    } else {
        const auto behind = m_now < m_storeOldUntil ? below(3) : 0;
        operation.next = attempt.handleRead(m_store.read(attempt.version() - 1, behind));
    }
    operation.due = m_now + Milliseconds(below(300));
}

auto GossipSoak::finish(const Operation& operation) -> void
{
    const auto& attempt = operation.attempt;
    const auto ours = m_store.changeOf(attempt.version()) == attempt.changeId();
    if (operation.next == ChangeStep::Accepted) {
        if (!ours || !m_acceptedVersions.insert(attempt.version()).second) {
            violate("two operators won version " + std::to_string(attempt.version()));
        }
        note("accepted version " + std::to_string(attempt.version()));
        auto& host = m_hosts[operation.host];
        put(host, attempt.version());
        m_pending.push_back({operation.host, attempt.version(), m_now});
        if (!isPaused(host)) {
            send(operation.host, host.core->push(s_document, m_now));
        }
        return;
    }
    if (ours && operation.next != ChangeStep::Unknown) {
        violate("an operator was told no although the change took effect");
    }
}

auto GossipSoak::advanceOperations() -> void
{
    const auto isOver = [](const Operation& operation) {
        return operation.next != ChangeStep::Read && operation.next != ChangeStep::Write;
    };
    for (auto& operation : m_operations) {
        if (operation.due > m_now) {
            continue;
        }
        advanceOperation(operation);
        if (isOver(operation)) {
            finish(operation);
        }
    }
    std::erase_if(m_operations, isOver);
}

auto GossipSoak::send(std::size_t from, const std::vector<gossip::GossipSend>& sends) -> void
{
    for (const auto& [to, message] : sends) {
        if (m_plan.faults && chance(s_lossProbability)) {
            continue;
        }
        const auto late = m_plan.faults && chance(s_lateProbability);
        const auto delay = Milliseconds(below(late ? s_lateDelayMs : s_maxDelayMs));
        m_flights.push_back({m_now + delay, from, to.port, message});
    }
}

auto GossipSoak::handTo(std::size_t index, const GossipMessage& message) -> void
{
    send(index, m_hosts[index].core->handleMessage(message, m_now));
}

auto GossipSoak::deliver() -> void
{
    auto due = std::vector<Flight>();
    const auto split = std::ranges::partition(m_flights, [this](const Flight& flight) { return flight.due > m_now; });
    std::ranges::move(split, std::back_inserter(due));
    m_flights.erase(split.begin(), m_flights.end());
    for (const auto& flight : due) {
        auto& host = m_hosts[flight.to];
        const auto crosses = m_hosts[flight.from].peer.dataCentre != host.peer.dataCentre;
        if (crosses && (isCut(host) || isCut(m_hosts[flight.from]))) {
            continue;
        }
        if (isPaused(host)) {
            host.inbox.push_back(flight.message);
            continue;
        }
        handTo(flight.to, flight.message);
    }
}

auto GossipSoak::readHeads(Host& host) -> void
{
    if (!m_plan.hostsReadPlatform || isCut(host) || m_now < m_storeDownUntil) {
        return;
    }
    const auto behind = m_now < m_storeOldUntil ? below(3) : 0;
    put(host, m_store.read(0, behind).version);
}

auto GossipSoak::tickHosts() -> void
{
    for (auto index = std::size_t{0}; index < m_hosts.size(); ++index) {
        auto& host = m_hosts[index];
        if (isPaused(host) || isCut(host)) {
            host.cleanSince = m_now;
        }
        if (isPaused(host)) {
            continue;
        }
        const auto inbox = std::move(host.inbox);
        host.inbox.clear();
        for (const auto& message : inbox) {
            handTo(index, message);
        }
        if (m_step % s_stepsPerTick == host.tickPhase) {
            readHeads(host);
            send(index, host.core->tick(m_now));
        }
    }
}

auto GossipSoak::checkInForce() -> void
{
    while (!m_pending.empty() && m_pending.front().at + s_inForceWithin <= m_now) {
        const auto acceptance = m_pending.front();
        m_pending.pop_front();
        if (m_hosts[acceptance.host].cleanSince >= acceptance.at) {
            continue;
        }
        for (const auto& host : m_hosts) {
            if (host.cleanSince < acceptance.at && host.version.version() < acceptance.version) {
                violate("version " + std::to_string(acceptance.version) + " is not in force on " + host.peer.host);
            }
        }
    }
    for (const auto& acceptance : m_pending) {
        const auto lags = [&](const Host& host) { return host.cleanSince < acceptance.at && host.version.version() < acceptance.version; };
        if (m_hosts[acceptance.host].cleanSince < acceptance.at && std::ranges::any_of(m_hosts, lags)) {
            m_slowest = std::max(m_slowest, std::chrono::duration_cast<Milliseconds>(m_now - acceptance.at));
        }
    }
}

auto GossipSoak::stepOnce() -> void
{
    m_now += s_step;
    ++m_step;
    m_store.advance(m_now);
    injectFaults();
    startOperations();
    advanceOperations();
    deliver();
    tickHosts();
    checkInForce();
}

auto GossipSoak::run(std::uint64_t steps) -> bool
{
    for (auto step = std::uint64_t{0}; step < steps && m_violation.empty(); ++step) {
        stepOnce();
    }
    return m_violation.empty();
}

} // namespace laburnummill::testing
