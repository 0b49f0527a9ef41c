#pragma once

#include "framework/global/time.h"
#include "testing/measure/policy/enginemodel.h"

#include <string>
#include <vector>

namespace laburnummill::testing {

/// One call of a program and what follows it.
struct Turn
{
    std::uint64_t newTokens = 0; ///< the prompt's part that is not the history
    std::uint64_t completionTokens = 0;
    framework::Milliseconds pause{0};         ///< of a tool, before the next turn
    std::vector<std::vector<Turn>> subAgents; ///< run beside one another in the pause
};

/// A program as it will turn out; only its past is shown to a policy.
struct ProgramPlan
{
    std::string name;
    std::string account;
    framework::Microseconds arrival{0};
    std::vector<Turn> turns;
};

/// A deployment's shape.
struct Shape
{
    std::string preset;
    std::size_t engines = 12;
    std::uint32_t concurrency = 8;
    double programsPerSecond = 1; ///< at load 1
    std::uint64_t firstLeast = 800;
    std::uint64_t firstMost = 3'000;
    std::uint64_t newLeast = 100;
    std::uint64_t newMost = 600;
    std::uint64_t completionLeast = 60;
    std::uint64_t completionMost = 260;
    double meanTurns = 5;
    double pauseMeanMs = 1'500;
    double subAgentsShare = 0.12; ///< of turns that start two sub-agents
    framework::Seconds length{600};
};

auto shapeOf(const std::string& preset) -> Shape;

/// The programs of a run, ordered by arrival. One account sends several times its rate for a while; what its rate and burst
/// refuse is not among them.
auto makeWorkload(const Shape& shape, double load, std::uint64_t seed) -> std::vector<ProgramPlan>;

/// How long the program takes on an engine that runs nothing else and keeps its cache.
auto idleLatency(const std::vector<Turn>& turns, const EngineModelSettings& engine) -> framework::Milliseconds;

} // namespace laburnummill::testing
