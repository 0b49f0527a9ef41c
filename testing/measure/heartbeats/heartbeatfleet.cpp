#include "heartbeatfleet.h"

#include <algorithm>

#include <fmt/format.h>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;
using peers::messages::Heartbeat;

constexpr auto s_step = Milliseconds(10);
constexpr auto s_warmUp = Milliseconds(6'000);
constexpr auto s_newsPatience = Milliseconds(60'000);
constexpr auto s_window = Milliseconds(5'000);

constexpr auto s_within = "within";
constexpr auto s_above = "above";
constexpr auto s_withinShare = 0.7;
constexpr auto s_aboveShare = 7.5;

/// Addresses and ports around a datagram.
constexpr auto s_headerBytes = std::size_t{28};

} // namespace

HeartbeatFleet::HeartbeatFleet(int hosts, int dataCentres, std::uint64_t seed)
    : m_random(seed)
{
    for (auto number = 0; number < hosts; ++number) {
        const auto address = fmt::format("10.{}.{}.{}:7001", number % dataCentres, number / 200, number % 200);
        auto host = std::make_unique<Host>(address, m_random());
        host->dataCentre = fmt::format("data-centre-{}", number % dataCentres);
        host->pace.markSent(m_now - Milliseconds(static_cast<std::int64_t>(m_random() % 2'000)));
        for (const auto* account : {s_within, s_above}) {
            host->limiter.setLimit(account, s_ratePerSecond, s_burst, m_now);
        }
        m_byAddress[address] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
    for (const auto& [address, number] : m_byAddress) {
        for (auto& host : m_hosts) {
            host->table.addHost(address, m_now);
        }
    }
    run(s_warmUp);
    m_figures = {};
    m_admitted.clear();
    m_isAsked = true;
}

auto HeartbeatFleet::run(Milliseconds time) -> void
{
    const auto end = m_now + time;
    while (m_now < end) {
        step();
    }
}

auto HeartbeatFleet::step() -> void
{
    m_now += s_step;
    for (const auto& datagram : std::exchange(m_underWay, {})) {
        auto& host = *m_hosts[datagram.to];
        if (!host.isDead) {
            take(host, datagram.heartbeat);
        }
    }
    for (auto& host : m_hosts) {
        if (host->isDead) {
            continue;
        }
        if (m_isAsked) {
            ask(*host);
        }
        host->limiter.setReachableFraction(host->table.reachableFraction(m_now), m_now);
        if (host->pace.isDue(host->table.fleetSize(), host->countNews.hasUrgentUpdate(host->limiter, m_now), m_now)) {
            beat(*host);
        }
    }
}

auto HeartbeatFleet::beat(Host& host) -> void
{
    host.pace.markSent(m_now);
    auto heartbeat = Heartbeat();
    heartbeat.set_host(host.address);
    heartbeat.set_address(host.address);
    heartbeat.set_incarnation(1);
    heartbeat.set_sequence(++host.sequence);
    heartbeat.set_data_centre(host.dataCentre);
    heartbeat.set_is_ready(true);
    heartbeat.set_reaches_store(true);
    heartbeat.set_operator_version(host.version);
    heartbeat.set_backend_version(1'000);
    heartbeat.set_started_at(1'790'000'000'000);
    for (const auto& told : host.countNews.take(host.limiter.admitted())) {
        auto* use = heartbeat.add_accounts();
        use->set_account(told.account);
        use->set_admitted(told.admitted);
        use->set_newly(told.newly);
    }
    const auto targets = host.table.targets(host.dataCentre, host.sequence, m_now);
    for (const auto& address : targets.direct) {
        send(host, address, heartbeat);
    }
    heartbeat.set_is_to_pass_on(true);
    for (const auto& address : targets.relays) {
        send(host, address, heartbeat);
    }
}

auto HeartbeatFleet::send(const Host& from, const std::string& address, const Heartbeat& heartbeat) -> void
{
    const auto to = m_byAddress.at(address);
    if (m_hosts[to].get() == &from) {
        return;
    }
    const auto bytes = heartbeat.ByteSizeLong() + s_headerBytes;
    ++m_figures.datagrams;
    m_figures.bytes += bytes;
    m_figures.bytesBetweenDataCentres += m_hosts[to]->dataCentre == from.dataCentre ? 0 : bytes;
    m_underWay.push_back({.to = to, .heartbeat = heartbeat});
}

auto HeartbeatFleet::take(Host& host, const Heartbeat& heartbeat) -> void
{
    const auto news = host.table.receive(heartbeat, m_now);
    if (news.isStale) {
        return;
    }
    for (const auto& use : news.admitted) {
        host.limiter.recordRemote(use.account, use.requests, m_now);
    }
    host.version = std::max(host.version, heartbeat.operator_version());
    if (heartbeat.is_to_pass_on()) {
        auto passedOn = heartbeat;
        passedOn.set_is_to_pass_on(false);
        passedOn.set_was_passed_on(true);
        for (const auto& address : host.table.addressesIn(host.dataCentre)) {
            send(host, address, passedOn);
        }
    }
}

auto HeartbeatFleet::ask(Host& host) -> void
{
    const auto seconds = std::chrono::duration<double>(s_step).count();
    const auto mean = s_ratePerSecond * seconds / static_cast<double>(m_hosts.size());
    for (auto calls = std::poisson_distribution<int>(mean * s_withinShare)(m_random); calls > 0; --calls) {
        ++m_figures.calls;
        m_figures.refusedWithin += host.limiter.admit(s_within, accounts::ProgramPhase::InProgress, m_now) ? 0 : 1;
    }
    for (auto calls = std::poisson_distribution<int>(mean * s_aboveShare)(m_random); calls > 0; --calls) {
        if (host.limiter.admit(s_above, accounts::ProgramPhase::InProgress, m_now)) {
            m_admitted.push_back(m_now);
        }
    }
    while (!m_admitted.empty() && m_admitted.front() <= m_now - s_window) {
        m_admitted.pop_front();
    }
    m_figures.mostInWindow = std::max<std::uint64_t>(m_figures.mostInWindow, m_admitted.size());
}

auto HeartbeatFleet::measureNews() -> void
{
    const auto began = m_now;
    m_hosts.front()->version = 1;
    const auto knowAll = [this] { return std::ranges::all_of(m_hosts, [](const auto& host) { return host->version == 1; }); };
    while (!knowAll() && m_now < began + s_newsPatience) {
        step();
    }
    m_figures.known = std::chrono::duration_cast<Milliseconds>(m_now - began);
    const auto died = m_now;
    m_hosts.back()->isDead = true;
    const auto hearsAll = [this](const auto& host) { return !host->isDead && host->table.reachableFraction(m_now) >= 1; };
    while (std::ranges::any_of(m_hosts, hearsAll) && m_now < died + s_newsPatience) {
        step();
    }
    m_figures.noticed = std::chrono::duration_cast<Milliseconds>(m_now - died);
}

} // namespace laburnummill::testing
