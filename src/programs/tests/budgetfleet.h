#pragma once

#include "framework/global/systemclock.h"
#include "programs/budgetledger.h"
#include "programs/tests/sharedstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <set>

// Hosts that share one program's budget, with a store and calls between them that can fail.

namespace laburnummill::programs::testing {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Instant;
using framework::Milliseconds;
using framework::SystemClock;

inline constexpr auto s_budget = std::uint64_t{864};
inline constexpr auto s_turn = std::uint64_t{288};
inline constexpr auto s_hostsPerDataCentre = 2;
inline constexpr auto s_hosts = 3 * s_hostsPerDataCentre;
inline constexpr auto s_firstIncarnations = std::uint64_t{100}; ///< those of two hosts differ by this

/// The system's clock with leaps.
class LeapingClock final : public framework::IClock
{
public:
    auto now() const -> Instant override { return m_clock.now() + m_leaps; }
    auto wallTime() const -> framework::WallTime override { return m_clock.wallTime() + m_leaps; }
    auto leap(Milliseconds time) -> void { m_leaps += time; }

private:
    SystemClock m_clock;
    Milliseconds m_leaps{0};
};

class Fleet;

class FleetPeers final : public peers::IPeers
{
public:
    FleetPeers(const Fleet& fleet, int number, std::uint64_t incarnation)
        : m_fleet(fleet)
        , m_number(number)
        , m_incarnation(incarnation)
    {}

    auto reachableHosts() const -> std::vector<std::string> override;
    auto home(std::string_view) const -> std::string override;
    auto replicaHosts(std::string_view) const -> std::vector<std::string> override;
    auto committer(std::string_view) const -> std::string override { return ownAddress(); }
    auto storeProxies() const -> std::vector<std::string> override { return {}; }
    auto unreachableHosts() const -> int override;
    auto sightings() const -> std::vector<peers::HostSighting> override;
    auto membershipSize() const -> int override { return s_hosts; }
    auto mayHaveForgottenSupport() const -> bool override;
    auto outageReports(std::uint64_t programs) const -> peers::OutageReports override;
    auto hasRecordedGrants(std::string_view address, std::uint64_t incarnation, std::uint64_t programs) const -> bool override;
    auto hasWrittenAllTurns(std::string_view, std::uint64_t) const -> bool override { return true; }
    auto addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string override;
    auto ownAddress() const -> std::string override { return std::to_string(m_number); }
    auto ownIncarnation() const -> std::uint64_t override { return m_incarnation; }
    auto call(std::string address, peers::messages::Request request, Milliseconds timeout)
        -> AsyncResult<peers::messages::Response> override;

private:
    const Fleet& m_fleet;
    int m_number;
    std::uint64_t m_incarnation;
};

struct Host
{
    Host(asio::any_io_executor executor, const Fleet& fleet, SharedStore& store, const framework::IClock& clock, int number,
         std::uint64_t incarnation, TokenRequests requests)
        : incarnation(incarnation)
        , peers(fleet, number, incarnation)
        , table(executor, clock, std::to_string(number), incarnation)
        , way(store)
        , ledger(executor, table, way, way, peers, clock, requests)
    {}

    std::uint64_t incarnation;
    bool hasStoreAnswered = true; ///< since its start
    FleetPeers peers;
    ProgramTable table;
    SharedStoreWay way;
    BudgetLedger ledger;
    /// What the last heartbeat of another host told.
    struct Report
    {
        std::uint64_t incarnation = 0;
        OutageGrantSummaries grants;
    };
    std::map<int, Report> heard; ///< by host
};

/// Three data centres with some hosts each.
class Fleet
{
public:
    explicit Fleet(TokenRequests requests = TokenRequests::PerTurn)
        : requests(requests)
    {
        for (auto number = 0; number < s_hosts; ++number) {
            hosts.emplace_back(
                std::make_shared<Host>(context.get_executor(), *this, store, clock, number, s_firstIncarnations * (number + 1), requests));
        }
    }

    auto mayCall(int from, int to) const -> bool
    {
        return group[from] == group[to] && !cutPairs.contains({std::min(from, to), std::max(from, to)});
    }

    /// Cuts the data centres off from each other.
    auto cut() -> void { group = {0, 0, 1, 1, 2, 2}; }

    auto restart(int number) -> void
    {
        retired.push_back(hosts[number]);
        const auto incarnation = hosts[number]->incarnation + 1;
        hosts[number] = std::make_shared<Host>(context.get_executor(), *this, store, clock, number, incarnation, requests);
        hosts[number]->way.isCut = retired.back()->way.isCut;
        hosts[number]->hasStoreAnswered = !store.isAway && !hosts[number]->way.isCut;
    }

    /// Cuts one host off from the store, or ends that.
    auto cutStore(int number, bool isCut) -> void
    {
        hosts[number]->way.isCut = isCut;
        hosts[number]->hasStoreAnswered = hosts[number]->hasStoreAnswered || (!isCut && !store.isAway);
    }

    auto exchangeHeartbeats() -> void
    {
        for (auto from = 0; from < s_hosts; ++from) {
            const auto grants = hosts[from]->ledger.outageGrants();
            for (auto to = 0; to < s_hosts; ++to) {
                if (from != to && mayCall(from, to) && !frozen.contains(from)) {
                    hosts[to]->heard[from] = {.incarnation = hosts[from]->incarnation, .grants = grants};
                }
            }
        }
    }

    /// One turn that uses `used` of the tokens it was given, by default all.
    auto turn(int number, TurnHistory history = TurnHistory::SentByCaller, std::uint64_t used = s_budget) -> Async<void>
    {
        const auto host = hosts[number];
        const auto reservation =
            co_await host->ledger.reserve(key, {.budget = budget, .maxTokens = s_turn, .isFirstTurn = isFirstTurn, .history = history});
        outcome = reservation.outcome;
        if (reservation.outcome != BudgetOutcome::Reserved) {
            co_return;
        }
        used = std::min(used, reservation.tokens);
        handedOut += used;
        ++granted;
        const auto returned = host->ledger.settle(key, reservation.tokens, used);
        if (returned > 0) {
            auto request = peers::messages::Request();
            request.mutable_ended_turn()->set_returned_tokens(returned);
            (void)co_await host->peers.call(host->peers.home(key.program), std::move(request), Milliseconds(1'300));
        }
    }

    auto start(int number, std::uint64_t used = s_budget) -> void { asio::co_spawn(context, turn(number, history, used), asio::detached); }

    /// Gives the program a large budget and a history that the hosts keep.
    auto beginLargeProgram() -> void
    {
        budget = 8 * s_turn;
        history = TurnHistory::KeptByHosts;
    }

    /// Runs turns at a host one after the other until one is refused.
    auto spend(int number) -> void
    {
        for (auto before = granted - 1; granted != before;) {
            before = granted;
            start(number);
            run();
        }
    }

    /// Lets a host grant and use tokens that no row contains, with the support of all hosts that it reaches, as hosts of the former build
    /// do.
    auto grantAsFormerBuild(int number, std::uint64_t tokens) -> void
    {
        for (auto other = 0; other < s_hosts; ++other) {
            if (mayCall(number, other)) {
                auto& supporter = *hosts[other]->table.program(key);
                supporter.supportedGrantor = std::to_string(number);
                supporter.supportedIncarnation = hosts[number]->incarnation;
                supporter.supportedAt = clock.now();
            }
        }
        auto& program = *hosts[number]->table.program(key);
        ProgramTable::limitBudget(program, budget);
        program.history = history;
        program.turnTokens = s_turn;
        program.unrecordedTokens += tokens;
        program.holding.grant(tokens);
        program.holding.reserve(tokens);
        program.holding.settle(tokens, tokens);
        handedOut += tokens;
        run();
    }

    /// Heartbeats are exchanged before what has been started runs, and tell nothing of it.
    auto run() -> void
    {
        exchangeHeartbeats();
        context.restart();
        context.run();
    }

    auto recordGrants() -> void
    {
        for (const auto& host : hosts) {
            asio::co_spawn(context, host->ledger.recordUnrecordedGrants(), asio::detached);
            run();
        }
    }

    auto setStoreAway(bool isAway) -> void
    {
        store.isAway = isAway;
        std::ranges::for_each(hosts, [isAway](const auto& host) { host->hasStoreAnswered |= !isAway && !host->way.isCut; });
    }

    asio::io_context context;
    LeapingClock clock;
    SharedStore store;
    ProgramKey key{.account = "pub", .program = "p1"};
    std::vector<std::shared_ptr<Host>> hosts;
    std::vector<std::shared_ptr<Host>> retired;
    std::array<int, s_hosts> group{};
    std::uint64_t budget = s_budget;
    TurnHistory history = TurnHistory::SentByCaller;
    bool isFirstTurn = false;
    BudgetOutcome outcome = BudgetOutcome::Undetermined; ///< of the last turn
    std::uint64_t handedOut = 0;
    int granted = 0;
    TokenRequests requests;
    std::set<int> frozen;                   ///< hosts that do not answer calls
    std::set<std::pair<int, int>> cutPairs; ///< hosts that do not reach each other, the lower number first
    Milliseconds answerDelay{0};
    mutable int lostAnswers = 0; ///< number of answers from now on that are lost
    mutable int calls = 0;
};

inline auto FleetPeers::reachableHosts() const -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>();
    for (auto other = 0; other < s_hosts; ++other) {
        if (other != m_number && m_fleet.mayCall(m_number, other)) {
            addresses.push_back(std::to_string(other));
        }
    }
    return addresses;
}

inline auto FleetPeers::home(std::string_view) const -> std::string
{
    return std::to_string(m_number / s_hostsPerDataCentre * s_hostsPerDataCentre);
}

inline auto FleetPeers::replicaHosts(std::string_view) const -> std::vector<std::string>
{
    auto addresses = reachableHosts();
    addresses.resize(std::min(addresses.size(), std::size_t{2}));
    return addresses;
}

inline auto FleetPeers::unreachableHosts() const -> int
{
    return s_hosts - 1 - static_cast<int>(reachableHosts().size());
}

inline auto FleetPeers::sightings() const -> std::vector<peers::HostSighting>
{
    auto found = std::vector<peers::HostSighting>();
    for (auto other = 0; other < s_hosts; ++other) {
        if (other != m_number) {
            found.push_back({.address = std::to_string(other), .host = {}, .incarnation = m_fleet.hosts[other]->incarnation});
        }
    }
    return found;
}

inline auto FleetPeers::outageReports(std::uint64_t programs) const -> peers::OutageReports
{
    auto reports = peers::OutageReports();
    for (const auto& [number, report] : m_fleet.hosts[m_number]->heard) {
        const auto isReachable = m_fleet.mayCall(m_number, number);
        if ((report.grants.own.bits() & programs) != 0) {
            reports.isAnyGrantorUnreachable = reports.isAnyGrantorUnreachable || !isReachable;
            if (isReachable) {
                reports.grantors.push_back(std::to_string(number));
            }
        } else if (isReachable && (report.grants.supported.bits() & programs) != 0) {
            reports.witnesses.push_back(std::to_string(number));
        }
    }
    return reports;
}

inline auto FleetPeers::hasRecordedGrants(std::string_view address, std::uint64_t incarnation, std::uint64_t programs) const -> bool
{
    const auto number = std::stoi(std::string(address));
    const auto& heard = m_fleet.hosts[m_number]->heard;
    const auto report = heard.find(number);
    return report != heard.end() && m_fleet.mayCall(m_number, number) && report->second.incarnation == incarnation &&
           (report->second.grants.own.bits() & programs) == 0;
}

inline auto FleetPeers::mayHaveForgottenSupport() const -> bool
{
    return !m_fleet.hosts[m_number]->hasStoreAnswered;
}

inline auto FleetPeers::addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string
{
    if (host.empty()) { // An entry with the grants of a host that has lost its state.
        return {};
    }
    const auto number = std::stoi(std::string(host));
    return m_fleet.mayCall(m_number, number) && m_fleet.hosts[number]->incarnation == incarnation ? std::string(host) : std::string();
}

inline auto FleetPeers::call(std::string address, peers::messages::Request request, Milliseconds timeout)
    -> AsyncResult<peers::messages::Response>
{
    const auto number = std::stoi(address);
    auto delay = asio::steady_timer(co_await asio::this_coro::executor, Milliseconds(1));
    co_await delay.async_wait(asio::use_awaitable);
    if (!m_fleet.mayCall(m_number, number)) {
        co_return peers::PeerError::Unreachable;
    }
    ++m_fleet.calls;
    if (m_fleet.frozen.contains(number)) {
        delay.expires_after(timeout);
        co_await delay.async_wait(asio::use_awaitable);
        co_return peers::PeerError::Unreachable;
    }
    const auto host = m_fleet.hosts[number];
    auto response = peers::messages::Response();
    if (request.has_ended_turn() && request.ended_turn().cancelled_transfer() != 0) {
        host->ledger.cancelTransfer(m_fleet.key, request.ended_turn().cancelled_transfer());
    } else if (request.has_ended_turn()) {
        host->ledger.acceptReturnedTokens(m_fleet.key, request.ended_turn().returned_tokens());
    } else {
        response = co_await host->ledger.answer(request.grant_query(), 0);
    }
    response.set_incarnation(host->incarnation);
    response.set_membership(s_hosts);
    co_await asio::post(asio::use_awaitable);
    delay.expires_after(m_fleet.answerDelay);
    co_await delay.async_wait(asio::use_awaitable);
    if (m_fleet.lostAnswers > 0) {
        --m_fleet.lostAnswers;
        co_return peers::PeerError::Unreachable;
    }
    co_return response;
}

} // namespace laburnummill::programs::testing
