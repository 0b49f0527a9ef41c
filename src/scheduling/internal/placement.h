#pragma once

#include "scheduling/internal/cacheestimates.h"
#include "scheduling/ischeduler.h"

#include <optional>

namespace laburnummill::scheduling {

/// What engines need for their work; estimates.
struct PlacementCosts
{
    double prefillMsPerToken = 0.1;
    double decodeMsPerStep = 22.0;        ///< of a batch of one
    double decodeMsPerRequest = 0.8;      ///< each further request in the batch slows a step by so much
    double decodeMsPerKiloToken = 0.1;    ///< and each thousand tokens of context
    double expectedTokens = 250;          ///< of an answer, before any was seen
    double cacheCapacityTokens = 200'000; ///< of an engine
};

/// Chooses engines by estimated finishing time: waiting, prefill that the engine's cache does not hold, decoding.
class Placer
{
public:
    explicit Placer(PlacementCosts costs)
        : m_costs(costs)
    {}

    struct Choice
    {
        EngineIndex engine = 0;
        bool holdsCache = false; ///< the engine holds most of the program's prompt
    };

    /// Among `free`, the engines with a free slot, the one where the call finishes first; nothing where waiting for the engine
    /// that holds the program's cache is faster still. `waited` counts against such waiting.
    auto choose(const ScheduledCall& call, const EngineRegistry& engines, const std::vector<EngineIndex>& free, framework::Instant now,
                framework::Milliseconds waited) const -> std::optional<Choice>;

    auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void;
    auto ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, framework::Milliseconds heldTime) -> void;

    auto caches() -> CacheEstimates& { return m_caches; }
    auto caches() const -> const CacheEstimates& { return m_caches; }
    auto costs() const -> const PlacementCosts& { return m_costs; }

private:
    auto costWithoutCache(const ScheduledCall& call, const EngineRegistry& engines, EngineIndex engine, framework::Instant now) const
        -> double;
    auto cacheSavings(const ScheduledCall& call, const CacheEstimates::Copy& copy) const -> double;
    auto costOfWaiting(const ScheduledCall& call, const EngineRegistry& engines, const CacheEstimates::Copy& copy, framework::Instant now,
                       framework::Milliseconds waited) const -> std::optional<double>;
    auto cacheFullness(EngineIndex engine) const -> double;
    auto prefillBacklog(EngineIndex engine, framework::Instant now) const -> double;
    auto uncached(const ScheduledCall& call, EngineIndex engine) const -> std::uint64_t;

    PlacementCosts m_costs;
    CacheEstimates m_caches;
    std::vector<framework::Instant> m_prefillUntil;
    double m_meanAnswerTokens = 0;
    double m_meanPermitMs = 0;
};

} // namespace laburnummill::scheduling
