#include "scheduling/backendchoice.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <queue>

using namespace laburnummill::scheduling;
using laburnummill::backends::Backend;
using laburnummill::backends::BackendPtr;
using laburnummill::backends::ServerOutcome;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

constexpr auto s_serviceTime = Milliseconds(200);

/// Hosts and engines of a fleet.
struct FleetPlan
{
    std::size_t hosts = 12;
    std::size_t engines = 8;
    int slots = 12;
    Milliseconds heartbeat{200};
};

/// Hosts that place turns on engines and learn of each other's turns and failures by heartbeats, on virtual time.
class PlacementLoad
{
public:
    explicit PlacementLoad(const FleetPlan& plan)
        : m_plan(plan)
        , m_running(plan.engines)
        , m_started(plan.engines)
    {
        for (auto host = std::size_t{0}; host < m_plan.hosts; ++host) {
            m_choices.emplace_back(host + 1);
            auto& servers = m_servers.emplace_back();
            for (auto engine = std::size_t{0}; engine < m_plan.engines; ++engine) {
                servers.push_back(std::make_shared<Backend>());
                servers.back()->number = engine + 1;
                servers.back()->entry.dataCentre = "a";
                servers.back()->entry.slots = m_plan.slots;
                servers.back()->idleConnections = 1;
            }
        }
    }

    /// The last engine fails this share of its turns.
    auto setFailureShare(double share) -> void { m_failureShare = share; }

    auto run(int turnsPerSecond, Milliseconds duration) -> void
    {
        const auto end = m_now + duration;
        const auto gap = std::chrono::microseconds(1'000'000 / turnsPerSecond);
        for (auto arrival = std::chrono::microseconds(m_now.time_since_epoch());
             Instant(std::chrono::duration_cast<Milliseconds>(arrival)) < end; arrival += gap) {
            m_now = Instant(std::chrono::duration_cast<Milliseconds>(arrival));
            finishTurns();
            exchangeHeartbeats();
            start(m_random() % m_plan.hosts);
        }
    }

    /// Time in milliseconds that this share of the turns did not exceed.
    auto turnTime(double share) -> long
    {
        std::ranges::sort(m_turnTimes);
        return m_turnTimes[static_cast<std::size_t>(static_cast<double>(m_turnTimes.size() - 1) * share)];
    }

    /// Share of the turns that the failing engine got.
    auto shareOfFailing() const -> double { return static_cast<double>(m_started.back()) / static_cast<double>(m_turnTimes.size()); }

private:
    struct Turn
    {
        Instant end;
        std::size_t host;
        std::size_t engine;

        auto operator<(const Turn& other) const -> bool { return end > other.end; }
    };

    auto start(std::size_t host) -> void
    {
        const auto settings = ChoiceSettings{
            .ownDataCentre = "a", .coldRequestsPerSecond = 0, .hosts = static_cast<int>(m_plan.hosts), .reportInterval = m_plan.heartbeat};
        const auto server = m_choices[host].choose(m_servers[host], {}, settings, m_now);
        m_choices[host].started(server, {}, settings, m_now);
        const auto engine = static_cast<std::size_t>(server->number - 1);
        ++server->running;
        ++m_running[engine];
        ++m_started[engine];
        // A full engine runs its turns one after another in each of its slots.
        const auto rounds = 1 + std::max(0, m_running[engine] - m_plan.slots) / static_cast<double>(m_plan.slots);
        const auto took = std::chrono::duration_cast<Milliseconds>(s_serviceTime * rounds);
        m_turnTimes.push_back(took.count());
        m_turns.push({.end = m_now + took, .host = host, .engine = engine});
    }

    auto finishTurns() -> void
    {
        while (!m_turns.empty() && m_turns.top().end <= m_now) {
            const auto turn = m_turns.top();
            m_turns.pop();
            const auto& server = m_servers[turn.host][turn.engine];
            --server->running;
            --m_running[turn.engine];
            const auto hasFailed = turn.engine + 1 == m_plan.engines && std::uniform_real_distribution()(m_random) < m_failureShare;
            server->health.record(hasFailed ? ServerOutcome::Broken : ServerOutcome::Answered, 1, turn.end);
        }
    }

    auto exchangeHeartbeats() -> void
    {
        if (m_now < m_heartbeatAt) {
            return;
        }
        m_heartbeatAt = m_now + m_plan.heartbeat;
        for (auto host = std::size_t{0}; host < m_plan.hosts; ++host) {
            for (auto engine = std::size_t{0}; engine < m_plan.engines; ++engine) {
                auto reports = laburnummill::backends::RemoteHealth();
                auto running = 0;
                for (auto other = std::size_t{0}; other < m_plan.hosts; ++other) {
                    const auto& server = *m_servers[other][engine];
                    const auto failures = server.health.failureShare(m_now);
                    if (other != host && (server.running > 0 || failures > 0)) {
                        running += server.running;
                        reports.failureShares += failures;
                    }
                }
                m_servers[host][engine]->runningRemotely = running;
                m_servers[host][engine]->health.setRemoteReports(reports);
            }
        }
    }

    FleetPlan m_plan;
    Instant m_now{Milliseconds(100'000)};
    Instant m_heartbeatAt{};
    std::vector<BackendChoice> m_choices;
    std::vector<std::vector<BackendPtr>> m_servers; ///< by host
    std::vector<int> m_running;                     ///< by engine
    std::vector<int> m_started;
    std::priority_queue<Turn> m_turns;
    std::vector<long> m_turnTimes;
    double m_failureShare = 0;
    std::minstd_rand m_random{7};
};

} // namespace

TEST_GROUP(PlacementLoad){/// Time in milliseconds that 95 in 100 turns did not exceed, with this share of all slots needed.
                          static auto turnTimeOf95(const FleetPlan& plan, double load)->long{auto fleet = PlacementLoad(plan);
fleet.run(turnsPerSecond(plan, load), Milliseconds(10'000));
return fleet.turnTime(0.95);
}

static auto turnsPerSecond(const FleetPlan& plan, double load) -> int
{
    const auto slots = static_cast<double>(plan.engines) * plan.slots;
    return static_cast<int>(slots * load / std::chrono::duration<double>(s_serviceTime).count());
}
}
;

TEST(PlacementLoad, turnsDoNotQueueWhileHalfOfTheSlotsSuffice)
{
    CHECK_TRUE(turnTimeOf95({}, 0.5) <= 210);
}

TEST(PlacementLoad, turnsQueueShortlyWhileThreeQuartersOfTheSlotsSuffice)
{
    CHECK_TRUE(turnTimeOf95({}, 0.75) <= 250);
}

TEST(PlacementLoad, turnsDoNotPileUpAtOneEngineWhileNearlyAllSlotsAreNeeded)
{
    CHECK_TRUE(turnTimeOf95({}, 0.9) <= 320);
}

TEST(PlacementLoad, reportsThatAreLongOutOfDateInLargeFleetsDoNotLeadAllHostsToOneEngine)
{
    const auto dozens = FleetPlan{.hosts = 86, .engines = 45, .slots = 6, .heartbeat = Milliseconds(430)};
    CHECK_TRUE(turnTimeOf95(dozens, 0.5) <= 260);
    CHECK_TRUE(turnTimeOf95(dozens, 0.75) <= 400);
    const auto hundreds = FleetPlan{.hosts = 295, .engines = 104, .slots = 6, .heartbeat = Milliseconds(1'475)};
    CHECK_TRUE(turnTimeOf95(hundreds, 0.5) <= 260);
    CHECK_TRUE(turnTimeOf95(hundreds, 0.75) <= 400);
}

TEST(PlacementLoad, anEngineThatLosesFewOfItsAnswersStillServesWhereTheOthersAreFull)
{
    const auto plan = FleetPlan();
    auto fleet = PlacementLoad(plan);
    fleet.setFailureShare(0.03);
    fleet.run(turnsPerSecond(plan, 0.95), Milliseconds(10'000));
    CHECK_TRUE(fleet.shareOfFailing() > 0.5 / static_cast<double>(plan.engines));
    CHECK_TRUE(fleet.turnTime(0.95) <= 400);
}

TEST(PlacementLoad, anEngineThatFailsHalfOfItsTurnsGetsFew)
{
    const auto plan = FleetPlan();
    auto fleet = PlacementLoad(plan);
    fleet.setFailureShare(0.5);
    fleet.run(turnsPerSecond(plan, 0.5), Milliseconds(10'000));
    CHECK_TRUE(fleet.shareOfFailing() < 0.25 / static_cast<double>(plan.engines));
}
