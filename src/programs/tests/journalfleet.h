#pragma once

#include "framework/global/manualclock.h"
#include "framework/global/systemclock.h"
#include "programs/budgetledger.h"
#include "programs/fleetmembership.h"
#include "programs/storepartitions.h"
#include "programs/tests/limitedstore.h"
#include "programs/turnjournal.h"
#include "store/groupedstore.h"
#include "store/returnprobe.h"
#include "store/storemessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

// Hosts with their journals of turns, a store with the platform's limits, and calls between the hosts that can fail.

namespace laburnummill::programs::testing {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

class JournalFleet;

/// What a host knows of an outage of the store.
class JournalOutage final : public IOutageScope
{
public:
    JournalOutage(std::size_t number, const framework::IClock& clock)
        : membership("host-" + std::to_string(number))
        , m_clock(clock)
    {}

    auto outageScope() const -> OutageScope override { return membership.judge(m_clock.now()).scope; }
    auto mayOthersReachStore() const -> bool override { return !membership.judge(m_clock.now()).host.empty(); }

    FleetMembership membership;

private:
    const framework::IClock& m_clock;
};

/// One host's view of the others: it has heard all that were ever up, and reaches those that are not cut off from it.
class JournalPeers final : public peers::IPeers
{
public:
    JournalPeers(const JournalFleet& fleet, std::size_t number)
        : m_fleet(fleet)
        , m_number(number)
    {}

    auto reachableHosts() const -> std::vector<std::string> override;
    auto home(std::string_view) const -> std::string override { return ownAddress(); }
    auto replicaHosts(std::string_view) const -> std::vector<std::string> override;
    auto committer(std::string_view) const -> std::string override;
    auto storeProxies() const -> std::vector<std::string> override { return {}; }
    auto unreachableHosts() const -> int override { return 0; }
    auto sightings() const -> std::vector<peers::HostSighting> override;
    auto membershipSize() const -> int override { return 1; }
    auto mayHaveForgottenSupport() const -> bool override { return false; }
    auto outageReports(std::uint64_t) const -> peers::OutageReports override { return {}; }
    auto hasRecordedGrants(std::string_view, std::uint64_t, std::uint64_t) const -> bool override { return true; }
    auto hasWrittenAllTurns(std::string_view, std::uint64_t) const -> bool override { return false; }
    auto addressOf(std::string_view, std::uint64_t) const -> std::string override { return {}; }
    auto ownAddress() const -> std::string override { return std::to_string(m_number); }
    auto ownIncarnation() const -> std::uint64_t override;
    auto call(std::string address, peers::messages::Request request, Milliseconds timeout)
        -> AsyncResult<peers::messages::Response> override;

private:
    const JournalFleet& m_fleet;
    std::size_t m_number;
};

/// A store that a host reaches unless it is cut off.
class StoreWay final : public store::IStore
{
public:
    explicit StoreWay(LimitedStore& store)
        : m_store(store)
    {}

    auto transact(store::Transaction transaction) -> AsyncResult<store::TransactionReply> override
    {
        if (isCutOff) {
            co_return store::StoreError::Unavailable;
        }
        co_return co_await m_store.transact(std::move(transaction));
    }

    auto list(store::ListRequest request) -> AsyncResult<store::RowPage> override
    {
        if (isCutOff) {
            co_return store::StoreError::Unavailable;
        }
        co_return co_await m_store.list(std::move(request));
    }

    bool isCutOff = false;

private:
    LimitedStore& m_store;
};

struct JournalHost
{
    static constexpr auto s_unstoredBytes = std::size_t{24 * 1024 * 1024};

    JournalHost(asio::io_context& context, const JournalFleet& fleet, LimitedStore& shared, const framework::IClock& clock,
                std::size_t number, std::uint64_t incarnation)
        : incarnation(incarnation)
        , peers(fleet, number)
        , outage(number, clock)
        , store(shared)
        , health(clock)
        , grouped(context.get_executor(), store, health, peers, clock, metrics)
        , probe(context.get_executor(), store, way, health, clock, storePartitions(), [this] { grouped.onReturn(); })
        , table(context.get_executor(), clock, std::to_string(number), incarnation)
        , hosts(grouped, clock,
                {.host = "host-" + std::to_string(number), .address = std::to_string(number), .incarnation = incarnation, .dataCentre = {}})
        , journal(context.get_executor(), table, grouped, grouped, peers, outage, hosts, clock,
                  {.cacheBytes = 64 * 1024 * 1024, .unstoredBytes = s_unstoredBytes})
        , ledger(context.get_executor(), table, grouped, grouped, peers, clock)
    {
        probe.start();
        if (incarnation > s_firstIncarnation) {
            ledger.alternateGrants().expectEarlierGrants();
        }
    }

    static constexpr auto s_firstIncarnation = std::uint64_t{1};

    std::uint64_t incarnation;
    bool isUp = true;
    std::size_t cutGroup = 0; ///< hosts reach those of the same group; 0: not cut off
    JournalPeers peers;
    JournalOutage outage;
    StoreWay store;
    framework::Metrics metrics;
    store::StoreHealth health;
    store::DirectWay way;
    store::GroupedStore grouped;
    store::ReturnProbe probe;
    ProgramTable table;
    HostRegister hosts;
    TurnJournal journal;
    BudgetLedger ledger;
};

class JournalFleet
{
public:
    explicit JournalFleet(std::size_t size)
    {
        for (auto number = std::size_t{0}; number < size; ++number) {
            hosts.push_back(std::make_shared<JournalHost>(context, *this, store, clock, number, 1));
            enter(number);
        }
        exchangeHeartbeats();
    }

    /// Enters a host into the register of hosts and lets it read that.
    auto enter(std::size_t number) -> void
    {
        run([this, number]() -> Async<void> {
            (void)co_await hosts[number]->hosts.enter(s_retention);
            if (const auto registered = co_await hosts[number]->hosts.read()) {
                hosts[number]->outage.membership.applyRegister(registered.value(), clock.now());
            }
        });
    }

    /// Cuts a host off from the store and the other hosts.
    auto setCutOff(std::size_t number, bool isCutOff) -> void { setCutGroup({number}, isCutOff ? number + 1 : 0); }

    /// Cuts hosts off from the store and from the hosts of other groups.
    auto setCutGroup(const std::vector<std::size_t>& numbers, std::size_t group) -> void
    {
        for (const auto number : numbers) {
            hosts[number]->cutGroup = group;
            hosts[number]->store.isCutOff = group != 0;
        }
    }

    auto mayCall(std::size_t from, std::size_t to) const -> bool { return hosts[to]->isUp && hosts[from]->cutGroup == hosts[to]->cutGroup; }

    /// Lets all hosts hear those that reach them.
    auto exchangeHeartbeats() -> void
    {
        for (auto from = std::size_t{0}; from < hosts.size(); ++from) {
            auto heartbeat = peers::messages::Heartbeat();
            heartbeat.set_host("host-" + std::to_string(from));
            heartbeat.set_incarnation(hosts[from]->incarnation);
            heartbeat.set_reaches_store(!store.isAway && !hosts[from]->store.isCutOff);
            for (auto to = std::size_t{0}; to < hosts.size(); ++to) {
                if (from != to && hosts[from]->isUp && mayCall(from, to)) {
                    hosts[to]->outage.membership.applyHeartbeat(heartbeat, clock.now());
                }
            }
        }
    }

    /// Ends a host; what it left to be written is not.
    auto kill(std::size_t number) -> void
    {
        hosts[number]->isUp = false;
        hosts[number]->store.isCutOff = true;
    }

    auto restart(std::size_t number) -> void
    {
        retired.push_back(hosts[number]);
        hosts[number] = std::make_shared<JournalHost>(context, *this, store, clock, number, hosts[number]->incarnation + 1);
        enter(number);
    }

    auto commit(std::size_t number, const std::string& id, std::string input = "input", const std::string& program = "p1",
                TurnHistory history = TurnHistory::KeptByHosts) -> CommitOutcome
    {
        exchangeHeartbeats();
        auto turn = std::make_shared<Turn>();
        turn->id = id;
        turn->account = "pub";
        turn->program = program;
        turn->input = std::move(input);
        auto outcome = CommitOutcome::LocalOnly;
        run([&]() -> Async<void> { outcome = co_await hosts[number]->journal.commit(turn, 100, history, clock.now() + timeLimit); });
        return outcome;
    }

    /// Lets a host hold a turn of the first one, as that does which belongs to a build that ends answers on copies.
    auto holdCopy(std::size_t number, const std::string& id, std::string input = "input") -> bool
    {
        auto turn = Turn();
        turn.id = id;
        turn.account = "pub";
        turn.program = "p1";
        turn.input = std::move(input);
        return hosts[number]->journal.holdReplicas("0", hosts[0]->incarnation, {encodeTurn(turn)});
    }

    auto commitTurn(std::size_t number, std::string id) -> Async<CommitOutcome>
    {
        auto turn = std::make_shared<Turn>();
        turn->id = std::move(id);
        turn->account = "pub";
        turn->program = "p1";
        turn->input = "input";
        co_return co_await hosts[number]->journal.commit(turn, 100, TurnHistory::KeptByHosts, clock.now() + timeLimit);
    }

    auto find(std::size_t number, const std::string& id) -> TurnSearch
    {
        auto search = TurnSearch();
        run([&]() -> Async<void> { search = co_await hosts[number]->journal.find(id, {.account = "pub", .program = "p1"}); });
        return search;
    }

    /// Runs `work` to its end; what it leaves behind runs on later.
    auto run(const std::function<Async<void>()>& work) -> void
    {
        auto isDone = false;
        asio::co_spawn(
            context,
            [&]() -> Async<void> {
                co_await work();
                isDone = true;
            },
            asio::detached);
        context.restart();
        while (!isDone && context.run_one() > 0) {
        }
    }

    auto runFor(Milliseconds time) -> void
    {
        context.restart();
        context.run_for(time);
    }

    static constexpr auto s_retention = Milliseconds(70'000);
    static constexpr auto s_unstoredBytes = JournalHost::s_unstoredBytes;

    Milliseconds timeLimit{3'000}; ///< until which callers wait for the end of an answer
    asio::io_context context;
    framework::SystemClock clock;
    LimitedStore store;
    std::vector<std::shared_ptr<JournalHost>> hosts;
    std::vector<std::shared_ptr<JournalHost>> retired;
    mutable int turnQueries = 0; ///< hosts that were asked for turns
};

inline auto JournalPeers::reachableHosts() const -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>();
    for (auto other = std::size_t{0}; other < m_fleet.hosts.size(); ++other) {
        if (other != m_number && m_fleet.mayCall(m_number, other)) {
            addresses.push_back(std::to_string(other));
        }
    }
    return addresses;
}

inline auto JournalPeers::committer(std::string_view) const -> std::string
{
    auto addresses = reachableHosts();
    addresses.push_back(ownAddress());
    return std::ranges::min(addresses);
}

inline auto JournalPeers::replicaHosts(std::string_view) const -> std::vector<std::string>
{
    auto addresses = reachableHosts();
    addresses.resize(std::min(addresses.size(), std::size_t{2}));
    return addresses;
}

inline auto JournalPeers::sightings() const -> std::vector<peers::HostSighting>
{
    auto found = std::vector<peers::HostSighting>();
    for (auto other = std::size_t{0}; other < m_fleet.hosts.size(); ++other) {
        if (other != m_number) {
            found.push_back({.address = std::to_string(other),
                             .host = "host-" + std::to_string(other),
                             .incarnation = m_fleet.hosts[other]->incarnation,
                             .isRegistered = true,
                             .heardAt = m_fleet.clock.now()});
        }
    }
    return found;
}

inline auto JournalPeers::ownIncarnation() const -> std::uint64_t
{
    return m_fleet.hosts[m_number]->incarnation;
}

inline auto JournalPeers::call(std::string address, peers::messages::Request request, Milliseconds)
    -> AsyncResult<peers::messages::Response>
{
    const auto number = static_cast<std::size_t>(std::stoul(address));
    co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    if (!m_fleet.mayCall(m_number, number)) {
        co_return peers::PeerError::Unreachable;
    }
    auto& host = *m_fleet.hosts[number];
    auto response = peers::messages::Response();
    response.set_incarnation(host.incarnation);
    if (request.has_transaction()) {
        const auto reply = co_await host.grouped.commitInGroup(store::fromMessage(request.transaction()));
        response.set_store_error(reply ? 0 : static_cast<std::uint32_t>(reply.error().value()));
        response.set_is_applied(reply && reply.value().isApplied);
        response.set_version(reply ? reply.value().version : 0);
        co_return response;
    }
    if (request.has_grant_query()) {
        co_return co_await host.ledger.answer(request.grant_query(), 0);
    }
    if (request.has_kept_turns()) {
        const auto& kept = request.kept_turns();
        response.set_is_copy_declined(
            !host.journal.holdReplicas(kept.origin(), kept.origin_incarnation(), {kept.records().begin(), kept.records().end()}));
    }
    m_fleet.turnQueries += request.has_turn_query() ? 1 : 0;
    for (const auto& id : request.turn_query().ids()) {
        if (const auto turn = host.journal.findLocal(id)) {
            response.add_turns(encodeTurn(*turn));
        }
    }
    co_return response;
}

} // namespace laburnummill::programs::testing
