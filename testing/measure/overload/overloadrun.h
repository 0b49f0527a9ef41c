#pragma once

#include "scheduling/admission.h"
#include "scheduling/backendchoice.h"
#include "testing/measure/overload/batchingserver.h"
#include "testing/simulation/eventqueue.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace laburnummill::testing {

/// A fleet, its servers and the load on them. Loads are ratios to what the servers can do with all slots in use, as fast as they are then.
struct OverloadPlan
{
    std::size_t hosts = 12;
    std::size_t servers = 12;
    int slots = 12;
    double load = 2.5;
    double calmLoad = 0.5;        ///< before and after the overload
    double slowness = 1;          ///< of all servers during the overload
    double objectiveFactor = 1.4; ///< a program is in time within this multiple of its time on idle servers and an allowance
    double speedSwing = 0.2;      ///< servers differ in speed and change it by up to this fraction
    framework::Seconds warmUp{8};
    framework::Seconds duration{60}; ///< of the overload
    framework::Seconds rest{12};
    std::uint64_t seed = 1;
};

/// Outcomes of the programs that were first sent within a span of time.
struct OverloadCounts
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    auto inTimeShare() const -> double { return asked > 0 ? static_cast<double>(inTime) / asked : 1; }
};

struct OverloadFigures
{
    std::vector<OverloadCounts> perSecond; ///< since the start of the overload
    OverloadCounts calm;                   ///< before the overload
    OverloadCounts overload;
    double recoverySeconds = 0; ///< after the overload, until at least 95 in 100 of the programs that start are in time again

    /// Programs per second in time, of those that started within the given seconds of the overload.
    auto inTimeRate(std::size_t from, std::size_t to) const -> double;
};

/// Programs that pass through the hosts' admission control and placement to model servers, at virtual time. Hosts learn of each
/// other's requests by reports, as they do by heartbeats.
class OverloadRun
{
public:
    explicit OverloadRun(const OverloadPlan& plan);

    auto run() -> OverloadFigures;

private:
    struct Program
    {
        std::string name;
        bool isLong = false;
        bool isAdmitted = false;
        bool hasEnded = false;
        int retriesLeft = 1;
        int openThreads = 0;
        int subAgents = 0; ///< started after the first turn
        double idleMs = 0;
        framework::Instant askedAt{};
    };
    using ProgramPtr = std::shared_ptr<Program>;

    /// The turns of a program or sub-agent, one after another.
    struct Thread
    {
        ProgramPtr program;
        std::vector<double> turnsMs; ///< work, the next one last
    };
    using ThreadPtr = std::shared_ptr<Thread>;

    struct RunningTurn
    {
        ThreadPtr thread;
        std::size_t host = 0;
        std::size_t server = 0;
        framework::Instant startedAt{};
    };

    struct Host
    {
        scheduling::Admission admission;
        scheduling::BackendChoice choice;
        std::vector<backends::BackendPtr> servers;
    };

    auto arrive() -> void;
    auto startProgram() -> void;
    auto tryProgram(const ProgramPtr& program, const ThreadPtr& thread) -> void;
    auto startTurn(const ThreadPtr& thread, std::size_t host) -> void;
    auto advanceServers() -> void;
    auto endTurn(std::uint64_t number) -> void;
    auto endThread(const ProgramPtr& program) -> void;
    auto endOverdueTurns() -> void;
    auto release(const RunningTurn& turn) -> void;
    auto exchangeReports() -> void;
    auto drawTurns(int count) -> std::vector<double>;
    auto count(const Program& program, int OverloadCounts::*outcome) -> void;
    auto randomHost() -> std::size_t { return m_random() % m_hosts.size(); }
    auto isOverload(framework::Instant at) const -> bool { return at >= m_overloadAt && at < m_restAt; }

    OverloadPlan m_plan;
    std::mt19937_64 m_random;
    framework::Milliseconds m_reportInterval;
    framework::Instant m_now{framework::Seconds(1'000)};
    framework::Instant m_overloadAt{};
    framework::Instant m_restAt{};
    framework::Instant m_reportAt{};
    double m_programsPerMs = 0; ///< at the servers' capacity
    std::uint64_t m_nextNumber = 1;
    std::vector<Host> m_hosts;
    std::vector<BatchingServer> m_servers;
    EventQueue<framework::Instant> m_events;
    std::unordered_map<std::uint64_t, RunningTurn> m_turns;
    OverloadFigures m_figures;
};

} // namespace laburnummill::testing
