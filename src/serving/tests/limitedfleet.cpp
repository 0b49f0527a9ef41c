#include "limitedfleet.h"

#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

const auto s_service = std::string("engines");
constexpr auto s_slots = 12;
constexpr auto s_toHead = Milliseconds(12);
constexpr auto s_serviceTime = Milliseconds(170);
constexpr auto s_poll = Milliseconds(40);
constexpr auto s_serverWait = Milliseconds(800);

/// The bounds of the users' rules.
constexpr auto s_window = Milliseconds(4'000);
constexpr auto s_firstWindow = Milliseconds(3'000);
constexpr auto s_toldBefore = Milliseconds(500);
constexpr auto s_excuse = Milliseconds(3'000);
constexpr auto s_tolerance = 1.5;
constexpr auto s_toleratedRequests = 5;

} // namespace

LimitedFleet::LimitedFleet(const LimitedFleetPlan& plan, std::uint64_t seed)
    : m_plan(plan)
    , m_random(seed)
    , m_requestsPerSecond(plan.requestsPerSecond)
    , m_hosts(plan.hosts)
    , m_arrivals(plan.servers)
    , m_firstToldAt(plan.servers, std::vector<Instant>(plan.hosts))
{
    const auto interval = peers::heartbeatInterval(static_cast<int>(m_plan.hosts));
    for (auto host = std::size_t{0}; host < m_plan.hosts; ++host) {
        m_hosts[host].address = "10.0." + std::to_string(host / 250) + "." + std::to_string(host % 250) + ":1";
        start(host);
        at(m_now + interval * static_cast<int>(host) / static_cast<int>(m_plan.hosts), [this, host] { beat(host); });
    }
    // The hosts know each other before the first request.
    for (auto& to : m_hosts) {
        for (const auto& from : m_hosts) {
            to.peers->addHost(from.address, m_now);
        }
    }
    at(m_now, [this] { ask(); });
}

auto LimitedFleet::start(std::size_t host) -> void
{
    auto& made = m_hosts[host];
    const auto seed = host * 1'000 + made.incarnation;
    made.metrics = std::make_unique<framework::Metrics>();
    made.backends = std::make_unique<backends::BackendRegistry>();
    made.peers = std::make_unique<peers::PeerTable>(made.address);
    made.limits = std::make_unique<ServerLimits>(made.address, *made.backends, *made.metrics);
    made.choice = std::make_unique<scheduling::BackendChoice>(seed);
    made.received.clear();
    for (auto server = std::size_t{0}; server < m_plan.servers; ++server) {
        made.backends->put({.id = std::to_string(server), .service = s_service, .dataCentre = "a", .slots = s_slots, .startedAt = 1},
                           m_now);
    }
}

auto LimitedFleet::run(Milliseconds duration) -> void
{
    const auto end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const auto event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

auto LimitedFleet::at(Instant time, std::function<void()> run) -> void
{
    m_queue.push({.at = time, .number = ++m_events, .run = std::move(run)});
}

auto LimitedFleet::limitOf(std::size_t server) const -> double
{
    const auto steps = static_cast<double>(std::max<std::size_t>(m_plan.limitedServers, 2) - 1);
    return m_plan.lowestLimit + (m_plan.highestLimit - m_plan.lowestLimit) * static_cast<double>(server) / steps;
}

auto LimitedFleet::ask() -> void
{
    const auto host = m_random() % m_plan.hosts;
    if (!m_hosts[host].isLeaving || m_random() % 10 == 0) {
        ++m_asked;
        serve(host, m_now);
    }
    const auto gap = std::exponential_distribution(m_requestsPerSecond)(m_random);
    at(m_now + std::chrono::duration_cast<framework::Microseconds>(std::chrono::duration<double>(gap)), [this] { ask(); });
}

auto LimitedFleet::settings() const -> scheduling::ChoiceSettings
{
    const auto hosts = static_cast<int>(m_plan.hosts);
    return {.ownDataCentre = "a", .coldRequestsPerSecond = 0, .hosts = hosts, .reportInterval = peers::heartbeatInterval(hosts)};
}

auto LimitedFleet::serve(std::size_t host, Instant arrivedAt) -> void
{
    auto& self = m_hosts[host];
    if (m_now < self.frozenUntil) {
        at(self.frozenUntil, [this, host, arrivedAt] { serve(host, arrivedAt); });
        return;
    }
    if (arrivedAt == m_now) {
        self.limits->recordDemand(s_service, m_now);
    }
    const auto servers = self.backends->available(s_service);
    self.limits->applyShares(s_service, servers, m_now);
    if (const auto server = self.choice->choose(servers, {}, settings(), m_now)) {
        self.choice->started(server, {}, settings(), m_now);
        send(host, server);
        return;
    }
    if (m_now >= arrivedAt + s_serverWait) {
        ++m_refused;
        m_longestRefusal = std::max(m_longestRefusal, std::chrono::duration_cast<Milliseconds>(m_now - arrivedAt));
        return;
    }
    at(m_now + s_poll, [this, host, arrivedAt] { serve(host, arrivedAt); });
}

auto LimitedFleet::send(std::size_t host, const BackendPtr& server) -> void
{
    const auto number = std::stoul(server->entry.id);
    m_arrivals[number].push_back({.at = m_now, .host = host, .isExcused = m_now < m_hosts[host].excusedUntil});
    ++server->running;
    at(m_now + s_toHead, [this, host, number, server, sentAt = m_now] {
        const auto isLimited = m_areLimited && number < m_plan.limitedServers;
        server->limit->recordAnswer(isLimited ? std::optional(limitOf(number)) : std::nullopt, sentAt, m_now);
        if (auto& toldAt = m_firstToldAt[number][host]; toldAt == Instant{}) {
            toldAt = m_now;
        }
    });
    at(m_now + s_serviceTime, [server] { --server->running; });
}

auto LimitedFleet::beat(std::size_t host) -> void
{
    auto& self = m_hosts[host];
    const auto next = m_now + peers::heartbeatInterval(static_cast<int>(m_plan.hosts));
    at(std::max(next, self.frozenUntil), [this, host] { beat(host); });
    if (m_now < self.frozenUntil) {
        return;
    }
    while (!self.received.empty()) {
        self.peers->receive(self.received.front(), m_now);
        self.received.pop_front();
    }
    auto heartbeat = peers::messages::Heartbeat();
    heartbeat.set_address(self.address);
    heartbeat.set_incarnation(self.incarnation);
    heartbeat.set_sequence(++self.sequence);
    heartbeat.set_data_centre("a");
    heartbeat.set_is_leaving(self.isLeaving);
    for (const auto& [id, backend] : self.backends->all()) {
        if (backend->running > 0) {
            auto* use = heartbeat.add_backends();
            use->set_backend(peers::backendHash(id));
            use->set_running(static_cast<std::uint32_t>(backend->running));
        }
    }
    self.limits->addTo(heartbeat, m_now);
    for (auto& to : m_hosts) {
        if (&to != &self && m_now >= self.cutOffUntil && m_now >= to.cutOffUntil) {
            deliver(to, heartbeat);
        }
    }
    const auto loads = self.peers->remoteBackendLoads(m_now);
    for (const auto& [id, backend] : self.backends->all()) {
        const auto found = loads.find(peers::backendHash(id));
        backend->runningRemotely = found == loads.end() ? 0 : found->second.running;
    }
    self.peers->removeExpired(m_now);
    self.limits->update(*self.peers, m_now);
}

auto LimitedFleet::deliver(Host& to, const peers::messages::Heartbeat& heartbeat) -> void
{
    if (m_now < to.frozenUntil) {
        to.received.push_back(heartbeat);
        return;
    }
    to.peers->receive(heartbeat, m_now);
}

auto LimitedFleet::excuse(std::size_t host, Milliseconds duration) -> void
{
    auto& until = m_hosts[host].excusedUntil;
    until = std::max(until, m_now + duration + s_excuse);
}

auto LimitedFleet::freeze(std::size_t host, Milliseconds duration) -> void
{
    m_hosts[host].frozenUntil = m_now + duration;
    excuse(host, duration);
}

auto LimitedFleet::cutOff(std::size_t host, Milliseconds duration) -> void
{
    m_hosts[host].cutOffUntil = m_now + duration;
    excuse(host, duration);
}

auto LimitedFleet::restart(std::size_t host) -> void
{
    ++m_hosts[host].incarnation;
    start(host);
    excuse(host, Milliseconds(0));
    for (auto& told : m_firstToldAt) {
        told[host] = {};
    }
}

auto LimitedFleet::beginStop(std::size_t host) -> void
{
    m_hosts[host].isLeaving = true;
}

auto LimitedFleet::excess() const -> double
{
    auto largest = -std::numeric_limits<double>::max();
    for (auto server = std::size_t{0}; server < m_plan.limitedServers; ++server) {
        auto window = std::deque<Instant>();
        const auto allowed = limitOf(server) * s_tolerance * std::chrono::duration<double>(s_window).count() + s_toleratedRequests;
        for (const auto& arrival : m_arrivals[server]) {
            const auto toldAt = m_firstToldAt[server][arrival.host];
            if (arrival.isExcused || arrival.at < m_start + s_firstWindow || toldAt == Instant{} || arrival.at < toldAt + s_toldBefore) {
                continue;
            }
            window.push_back(arrival.at);
            while (window.front() + s_window <= arrival.at) {
                window.pop_front();
            }
            largest = std::max(largest, static_cast<double>(window.size()) - allowed);
        }
    }
    return largest;
}

auto LimitedFleet::usedFraction(Milliseconds from, Milliseconds to) const -> double
{
    auto sum = 0.0;
    for (auto server = std::size_t{0}; server < m_plan.limitedServers; ++server) {
        const auto got = std::ranges::count_if(
            m_arrivals[server], [&](const Arrival& arrival) { return arrival.at >= m_start + from && arrival.at < m_start + to; });
        sum += static_cast<double>(got) / (limitOf(server) * std::chrono::duration<double>(to - from).count());
    }
    return sum / static_cast<double>(m_plan.limitedServers);
}

} // namespace laburnummill::serving
