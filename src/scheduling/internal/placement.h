#pragma once

#include "scheduling/internal/cacheestimates.h"
#include "scheduling/ischeduler.h"

#include <optional>

namespace laburnummill::scheduling {

/// Estimated costs of work on engines.
struct PlacementCosts
{
    double prefillMsPerToken = 0.1;
    double decodeMsPerStep = 22.0;        ///< with a batch of one request
    double decodeMsPerRequest = 0.8;      ///< added to a step by each further request in the batch
    double decodeMsPerKiloToken = 0.1;    ///< added to a step by each thousand tokens of context
    double expectedTokens = 250;          ///< assumed response length until the first response has ended
    double cacheCapacityTokens = 200'000; ///< of one engine
};

/// Chooses engines by estimated finishing time: waiting, prefill of uncached prompt tokens, and decoding.
class Placer
{
public:
    explicit Placer(PlacementCosts costs)
        : m_costs(costs)
    {}

    struct Choice
    {
        EngineIndex engine = 0;
        bool holdsCache = false; ///< the engine caches most of the program's prompt
    };

    /// Returns the engine on which the call is expected to finish first. `free` lists the engines with a free slot. Returns
    /// nullopt if it is faster to wait for a busy engine that caches the program's prompt. The time already waited is added to
    /// the cost of waiting longer.
    auto choose(const ScheduledCall& call, const EngineRegistry& engines, const std::vector<EngineIndex>& free, framework::Instant now,
                framework::Milliseconds waited) const -> std::optional<Choice>;

    /// Updates the estimates when a call starts.
    auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void;
    /// Updates the estimates when a call has ended.
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
