#include "framework/global/systemclock.h"
#include "programs/budgetledger.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <random>

// Several hosts share one program's budget. Invariant: at most the budget and one turn's tokens are handed out.

using namespace laburnummill::programs;
namespace asio = boost::asio;
namespace peers = laburnummill::peers;
namespace store = laburnummill::store;
using laburnummill::framework::Async;
using laburnummill::framework::AsyncResult;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::SystemClock;

namespace {

constexpr auto s_budget = std::uint64_t{864};
constexpr auto s_turn = std::uint64_t{288};
constexpr auto s_hostsPerDataCentre = 2;
constexpr auto s_hosts = 3 * s_hostsPerDataCentre;

class SharedStore final : public store::IStore
{
public:
    auto transact(store::Transaction transaction) -> AsyncResult<store::TransactionReply> override
    {
        if (isAway) {
            co_return store::StoreError::Unavailable;
        }
        if (transaction.conditions.front().version != m_row.version) {
            co_return store::TransactionReply{.isApplied = false, .version = m_row.version, .currentRows = {m_row}};
        }
        m_row = {.address = transaction.puts.front().address, .value = transaction.puts.front().value, .version = m_row.version + 1};
        co_return store::TransactionReply{.isApplied = true, .version = m_row.version, .currentRows = {}};
    }

    auto list(store::ListRequest) -> AsyncResult<store::RowPage> override
    {
        if (isAway) {
            co_return store::StoreError::Unavailable;
        }
        co_return store::RowPage{.rows = {m_row}, .version = m_row.version, .hasMore = false};
    }

    bool isAway = false;

private:
    store::Row m_row;
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
    auto storeProxies() const -> std::vector<std::string> override { return {}; }
    auto isAnyHostUnreachable() const -> bool override;
    auto mayHaveUnknownTurns() const -> bool override { return false; }
    auto mayHaveLostGrants() const -> bool override { return false; }
    auto membershipSize() const -> int override { return s_hosts; }
    auto mayHaveForgottenSupport() const -> bool override;
    auto wasStoreImpairedRecently() const -> bool override;
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
    Host(asio::any_io_executor executor, const Fleet& fleet, store::IStore& store, const SystemClock& clock, int number,
         std::uint64_t incarnation)
        : incarnation(incarnation)
        , peers(fleet, number, incarnation)
        , table(executor, clock, std::to_string(number), incarnation)
        , ledger(executor, table, store, peers, clock)
    {}

    std::uint64_t incarnation;
    bool hasStoreAnswered = true; ///< since its start
    FleetPeers peers;
    ProgramTable table;
    BudgetLedger ledger;
};

/// Three data centres with some hosts each.
class Fleet
{
public:
    Fleet()
    {
        for (auto number = 0; number < s_hosts; ++number) {
            hosts.emplace_back(std::make_shared<Host>(context.get_executor(), *this, store, clock, number, 1));
        }
    }

    auto mayCall(int from, int to) const -> bool { return group[from] == group[to]; }

    /// Cuts the data centres off from each other.
    auto cut() -> void { group = {0, 0, 1, 1, 2, 2}; }

    auto restart(int number) -> void
    {
        retired.push_back(hosts[number]);
        const auto incarnation = hosts[number]->incarnation + 1;
        hosts[number] = std::make_shared<Host>(context.get_executor(), *this, store, clock, number, incarnation);
        hosts[number]->hasStoreAnswered = !store.isAway;
    }

    /// One turn that uses all of the tokens it was given.
    auto turn(int number, TurnHistory history = TurnHistory::SentByCaller) -> Async<void>
    {
        const auto host = hosts[number];
        const auto reservation =
            co_await host->ledger.reserve(key, {.budget = s_budget, .maxTokens = s_turn, .isFirstTurn = false, .history = history});
        if (reservation.outcome != BudgetOutcome::Reserved) {
            co_return;
        }
        handedOut += reservation.tokens;
        ++granted;
        host->ledger.settle(key, reservation.tokens, reservation.tokens);
    }

    auto start(int number) -> void { asio::co_spawn(context, turn(number), asio::detached); }

    auto run() -> void
    {
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
        for (const auto& host : hosts) {
            host->hasStoreAnswered = host->hasStoreAnswered || !isAway;
        }
    }

    asio::io_context context;
    SystemClock clock;
    SharedStore store;
    ProgramKey key{.account = "pub", .program = "p1"};
    std::vector<std::shared_ptr<Host>> hosts;
    std::vector<std::shared_ptr<Host>> retired;
    std::array<int, s_hosts> group{};
    std::uint64_t handedOut = 0;
    int granted = 0;
};

auto FleetPeers::reachableHosts() const -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>();
    for (auto other = 0; other < s_hosts; ++other) {
        if (other != m_number && m_fleet.mayCall(m_number, other)) {
            addresses.push_back(std::to_string(other));
        }
    }
    return addresses;
}

auto FleetPeers::home(std::string_view) const -> std::string
{
    return std::to_string(m_number / s_hostsPerDataCentre * s_hostsPerDataCentre);
}

auto FleetPeers::replicaHosts(std::string_view) const -> std::vector<std::string>
{
    auto addresses = reachableHosts();
    addresses.resize(std::min(addresses.size(), std::size_t{2}));
    return addresses;
}

auto FleetPeers::isAnyHostUnreachable() const -> bool
{
    return reachableHosts().size() + 1 < s_hosts;
}

auto FleetPeers::wasStoreImpairedRecently() const -> bool
{
    return m_fleet.store.isAway || isAnyHostUnreachable();
}

auto FleetPeers::mayHaveForgottenSupport() const -> bool
{
    return !m_fleet.hosts[m_number]->hasStoreAnswered;
}

auto FleetPeers::addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string
{
    const auto number = std::stoi(std::string(host));
    return m_fleet.mayCall(m_number, number) && m_fleet.hosts[number]->incarnation == incarnation ? std::string(host) : std::string();
}

auto FleetPeers::call(std::string address, peers::messages::Request request, Milliseconds) -> AsyncResult<peers::messages::Response>
{
    const auto number = std::stoi(address);
    auto delay = asio::steady_timer(co_await asio::this_coro::executor, Milliseconds(1));
    co_await delay.async_wait(asio::use_awaitable);
    if (!m_fleet.mayCall(m_number, number)) {
        co_return peers::PeerError::Unreachable;
    }
    const auto host = m_fleet.hosts[number];
    auto response = co_await host->ledger.answer(request.grant_query(), 0);
    co_await asio::post(asio::use_awaitable);
    co_return response;
}

} // namespace

TEST_GROUP(FleetBudget)
{
    Fleet fleet;

    auto checkBound()->void
    {
        CHECK_TEXT(fleet.handedOut <= s_budget + s_turn, std::to_string(fleet.handedOut).c_str());
    }

    /// Spends the whole budget at hosts that then lose their memory.
    auto spendBudgetAndForget()->void
    {
        for (auto turn = 0; turn < 3; ++turn) {
            fleet.start(0);
            fleet.run();
        }
        CHECK_EQUAL(s_budget, fleet.handedOut);
        for (auto number = 0; number < s_hosts; ++number) {
            fleet.restart(number);
        }
        fleet.store.isAway = true;
    }
};

TEST(FleetBudget, homesThatDoNotKnowAProgramGrantOneTurnTogetherWhenAskedAtTheSameMoment)
{
    spendBudgetAndForget();
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.start(number);
    }
    fleet.run();
    checkBound();
}

TEST(FleetBudget, dataCentresThatAreCutOffGrantOneTurnTogether)
{
    spendBudgetAndForget();
    fleet.cut();
    for (auto number = 0; number < s_hosts; ++number) {
        fleet.start(number);
    }
    fleet.run();
    checkBound();
}

TEST(FleetBudget, aHostThatGrantedAndWasRestartedDoesNotGrantAgain)
{
    spendBudgetAndForget();
    for (auto round = 0; round < 3; ++round) {
        fleet.start(0);
        fleet.run();
        fleet.restart(0);
    }
    checkBound();
}

TEST(FleetBudget, aProgramThatStartsDuringAnOutageGetsATurn)
{
    fleet.store.isAway = true;
    fleet.start(1);
    fleet.run();
    CHECK_EQUAL(s_turn, fleet.handedOut);
}

TEST(FleetBudget, theBoundHoldsInAnyOrderOfOutagesCutsAndRestarts)
{
    auto broken = std::string();
    auto granted = 0;
    constexpr auto seeds = 40U;
    for (auto seed = 1U; seed <= seeds; ++seed) {
        auto random = std::minstd_rand(seed);
        auto trial = Fleet();
        for (auto step = 0; step < 12; ++step) {
            switch (random() % 8) {
            case 0:
                trial.setStoreAway(!trial.store.isAway);
                break;
            case 1:
                trial.cut();
                break;
            case 2:
                trial.group = {};
                break;
            case 3:
                trial.restart(static_cast<int>(random() % s_hosts));
                break;
            case 4:
                trial.recordGrants();
                break;
            default:
                for (auto turn = 0; turn < 3; ++turn) {
                    trial.start(static_cast<int>(random() % s_hosts));
                }
                trial.run();
            }
        }
        granted += trial.granted;
        if (trial.handedOut > s_budget + s_turn) {
            broken += "seed " + std::to_string(seed) + ": " + std::to_string(trial.handedOut) + "\n";
        }
    }
    CHECK_TEXT(broken.empty(), (broken + std::to_string(granted) + " turns granted").c_str());
}
