#pragma once

#include "backends/backendregistry.h"
#include "scheduling/backendchoice.h"
#include "testing/simulation/batchingengine.h"
#include "testing/simulation/eventqueue.h"

#include <map>
#include <memory>
#include <optional>
#include <random>

namespace laburnummill::testing {

/// A kind of program that callers begin.
struct ProgramKind
{
    double perSecond = 40;
    int turns = 4;               ///< on average; between half and one and a half of it
    int inputTokens = 654;       ///< of each turn
    int outputTokens = 73;       ///< of each turn
    double subAgentShare = 0.05; ///< of the turns are followed by five chains of two turns each
    double objectiveFactor = 1.5;
    double objectiveAllowanceMs = 200;
    int priority = 0;
};

struct ProgramFleetPlan
{
    std::size_t hosts = 80;
    std::size_t engines = 45;
    EngineSpeed speed;
    std::vector<ProgramKind> kinds;
    scheduling::PlacementRule rule = scheduling::PlacementRule::ExpectedFinish;
    double stayShare = 1;     ///< of a program's turns arrive at its first host
    bool probes = true;       ///< hosts ask engines for their load where they do not know enough
    bool changesPace = false; ///< engines change their pace between 1 and 3 five times a second and state it
    std::uint64_t seed = 1;
};

/// What callers got of one kind of program.
struct ProgramCounts
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
};

/// Hosts, engines and callers of programs on virtual time. The hosts place turns with the product's own decisions and know of each other's
/// turns by heartbeats.
class ProgramFleet
{
public:
    struct Program
    {
        std::string id;
        std::size_t kind = 0;
        std::string account;
        std::size_t host = 0;
        framework::Instant askedAt{};
        int openChains = 0;
        double idleMs = 0; ///< on idle engines
        int retriesLeft = 1;
    };
    using ProgramPtr = std::shared_ptr<Program>;

    /// Decides on the starts of programs and sees what becomes of their turns.
    class IGate
    {
    public:
        virtual ~IGate() = default;

        /// nullopt if the program may begin at `host`, or the time after which its caller is asked to return.
        virtual auto admit(std::size_t host, const Program& program, framework::Instant now) -> std::optional<framework::Milliseconds> = 0;
        virtual auto turnEnded(std::size_t host, const Program& program, double tookMs, double idleMs, framework::Instant now) -> void = 0;
        /// Called at each heartbeat of `host`.
        virtual auto exchange(std::size_t host, const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> void = 0;
    };

    explicit ProgramFleet(const ProgramFleetPlan& plan, IGate* gate = nullptr);

    auto run(framework::Milliseconds duration) -> void;

    /// Scales the arrivals of all programs.
    auto setLoad(double load) -> void { m_load = load; }
    /// Gives this share of all programs to the account "large"; the others are spread over ten accounts.
    auto setLargeAccountShare(double share) -> void { m_largeShare = share; }

    auto now() const -> framework::Instant { return m_now; }
    /// Requests that truly ran or waited at the chosen engine at this quantile of the choices.
    auto requestsAtChoice(double quantile) -> int;
    /// Time of turns over their time on an idle engine at this quantile.
    auto turnStretch(double quantile) -> double;
    /// Share of the prompt tokens that engines had to read of those that they had to if each turn returned to its chain's engine.
    auto prefillRatio() const -> double { return m_readTokens / m_newTokens; }
    auto counts(std::size_t kind) const -> const ProgramCounts& { return m_counts[kind]; }
    auto countsOf(const std::string& account) -> const ProgramCounts& { return m_accountCounts[account]; }
    auto turnsOf(std::size_t engine) const -> int { return m_turnsOf[engine]; }
    auto probesPerTurn() const -> double { return m_probes / static_cast<double>(m_atChoice.size()); }
    auto resetCounts() -> void;

private:
    struct Chain
    {
        ProgramPtr program;
        std::string id;
        std::vector<EnginePromptPart> prompt;
        int turnsLeft = 0;
    };
    using ChainPtr = std::shared_ptr<Chain>;

    struct OpenTurn
    {
        ChainPtr chain;
        std::size_t host = 0;
        std::size_t engine = 0;
        framework::Instant startedAt{};
        double idleMs = 0;
        int outputTokens = 0;
    };

    struct Host
    {
        std::unique_ptr<scheduling::BackendChoice> choice;
        std::vector<backends::BackendPtr> servers;
        std::vector<int> reported; ///< running requests by server, in its last heartbeat
    };

    auto at(framework::Instant time, std::function<void()> run) -> void { m_events.push(time, std::move(run)); }
    auto arrive(std::size_t kind) -> void;
    auto ask(const ProgramPtr& program) -> void;
    auto startTurn(const ChainPtr& chain) -> void;
    auto chooseServer(Host& host, const scheduling::BackendRequirements& requirements) -> backends::BackendPtr;
    auto advance(std::size_t engine) -> void;
    auto stateOf(std::size_t engine) const -> backends::LoadStatement;
    auto watch(std::size_t engine) -> void;
    auto endTurn(std::uint64_t number) -> void;
    auto endChain(const ChainPtr& chain) -> void;
    auto heartbeat(std::size_t host) -> void;
    auto changePace(std::size_t engine) -> void;
    auto draw(double from, double to) -> double { return std::uniform_real_distribution(from, to)(m_random); }
    auto hostOf(const Program& program) -> std::size_t;
    auto count(const Program& program, int ProgramCounts::*outcome) -> void;
    auto addChain(const ProgramPtr& program, const std::string& id, std::vector<EnginePromptPart> prompt, int turns) -> ChainPtr;

    ProgramFleetPlan m_plan;
    IGate* m_gate;
    std::mt19937_64 m_random;
    framework::Milliseconds m_interval;
    framework::Instant m_now{framework::Seconds(1'000)};
    EventQueue<framework::Instant> m_events;
    std::vector<Host> m_hosts;
    std::vector<BatchingEngine> m_engines;
    std::vector<framework::Instant> m_watched; ///< by engine: the next event that is planned for it
    std::vector<int> m_totalReported;          ///< running requests by engine, by the last heartbeats of all hosts
    std::vector<std::optional<backends::DatedLoadStatement>> m_stated;
    std::map<std::uint64_t, OpenTurn> m_turns;
    std::uint64_t m_nextNumber = 1;
    double m_load = 1;
    double m_largeShare = 0;
    double m_readTokens = 0;
    double m_newTokens = 0;
    int m_probes = 0;
    std::vector<int> m_turnsOf;
    std::vector<int> m_atChoice;
    std::vector<double> m_stretches;
    std::vector<ProgramCounts> m_counts;
    std::map<std::string, ProgramCounts> m_accountCounts;
};

} // namespace laburnummill::testing
