#pragma once

#include "scheduling/internal/dispatcher.h"
#include "testing/measure/policy/workload.h"
#include "testing/simulation/eventqueue.h"

#include <functional>
#include <random>

namespace laburnummill::testing {

/// What one policy made of one workload.
struct PolicyFigures
{
    double latencyP50 = 0; ///< of programs, milliseconds, tool pauses included
    double latencyP95 = 0;
    double worstAccountP95 = 0;  ///< of the account with the highest
    double recomputedTokens = 0; ///< prompt tokens that some engine had computed for the program before
    double slowdownP95 = 0;      ///< against an idle fleet
    double busyShare = 0;        ///< of the engines' time
    double meanWaiting = 0;      ///< calls in the queue
    std::uint64_t refused = 0;
    std::uint64_t unfinished = 0;
};

/// Runs a workload through one dispatcher and its engines on virtual time.
class PolicyRun
{
public:
    PolicyRun(const Shape& shape, const std::vector<ProgramPlan>& plans, std::unique_ptr<scheduling::IPolicy> policy, std::uint64_t seed);

    auto run() -> PolicyFigures;

private:
    /// A program or sub-agent under way.
    struct Thread
    {
        std::string name;
        const ProgramPlan* plan = nullptr;
        const std::vector<Turn>* turns = nullptr;
        Thread* parent = nullptr;
        std::size_t turn = 0;
        std::uint64_t history = 0;  ///< tokens
        std::uint64_t computed = 0; ///< the prompt's tokens that an engine has computed before
        std::size_t joins = 0;      ///< what the next turn waits for
        framework::Instant ended;
    };
    auto after(framework::Microseconds delay, std::function<void()> run) -> void;
    auto startProgram(const ProgramPlan& plan) -> void;
    auto submit(Thread& thread) -> void;
    auto handOut() -> void;
    auto grant(const scheduling::OpenPermit& permit) -> void;
    auto stepLoop(std::size_t engine, std::uint64_t life) -> void;
    auto answered(const ModelAnswer& answer) -> void;
    auto join(Thread& thread) -> void;
    auto proceed(Thread& thread) -> void;
    auto reportLoop(std::size_t engine) -> void;
    auto tickLoop() -> void;
    auto forget(const Thread& thread) -> void;
    auto tellEvictions(std::size_t engine) -> void;
    auto leave() -> void;
    auto comeBack() -> void;
    auto configure() -> void;
    auto figures() const -> PolicyFigures;

    const Shape& m_shape;
    const std::vector<ProgramPlan>& m_plans;
    EngineModelSettings m_engineSettings;
    scheduling::Dispatcher m_dispatcher;
    std::mt19937_64 m_random;
    framework::Instant m_start{framework::Seconds(1'000)};
    framework::Instant m_now{framework::Seconds(1'000)};
    EventQueue<framework::Instant> m_events;
    std::vector<EngineModel> m_engines;
    std::vector<bool> m_leaving;
    std::vector<bool> m_stepping;
    std::vector<framework::Instant> m_coldUntil;
    std::vector<std::unique_ptr<Thread>> m_threads;
    std::vector<Thread*> m_calls; ///< by permit number
    std::size_t m_unfinished = 0;
    double m_recomputed = 0;
    double m_waitingSum = 0;
    double m_ticks = 0;
    std::uint64_t m_refused = 0;
};

} // namespace laburnummill::testing
