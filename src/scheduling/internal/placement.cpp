#include "scheduling/internal/placement.h"

#include <algorithm>

namespace laburnummill::scheduling {

using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;

namespace {

constexpr auto s_smoothing = 0.02;
constexpr auto s_microsecondsPerMs = 1'000.0;
constexpr auto s_kiloToken = 1'000.0;

auto smooth(double mean, double value) -> double
{
    return mean == 0 ? value : mean + s_smoothing * (value - mean);
}

} // namespace

auto Placer::prefillBacklog(EngineIndex engine, Instant now) const -> double
{
    if (engine >= m_prefillUntil.size() || m_prefillUntil[engine] <= now) {
        return 0;
    }
    return static_cast<double>((m_prefillUntil[engine] - now).count()) / s_microsecondsPerMs;
}

auto Placer::uncached(const ScheduledCall& call, EngineIndex engine) const -> std::uint64_t
{
    const auto& copies = m_caches.copies(call.program);
    const auto copy = std::ranges::find(copies, engine, &CacheEstimates::Copy::engine);
    return copy == copies.end() ? call.promptTokens : call.promptTokens - std::min(call.promptTokens, copy->tokens);
}

auto Placer::costWithoutCache(const ScheduledCall& call, const EngineRegistry& engines, EngineIndex engine, Instant now) const -> double
{
    const auto& state = engines.at(engine);
    const auto batch = static_cast<double>(state.inFlight + state.orphans);
    const auto context = static_cast<double>(state.tokensInFlight) / s_kiloToken;
    const auto step = m_costs.decodeMsPerStep + m_costs.decodeMsPerRequest * batch + m_costs.decodeMsPerKiloToken * context;
    const auto answer = m_meanAnswerTokens > 0 ? m_meanAnswerTokens : m_costs.expectedTokens;
    // NOTE A full cache evicts prefixes of other programs: the cost includes recomputing as many tokens as this call adds.
    const auto evictionCost = cacheFullness(engine) * m_costs.prefillMsPerToken * static_cast<double>(call.promptTokens);
    return prefillBacklog(engine, now) + answer * step + evictionCost;
}

auto Placer::cacheFullness(EngineIndex engine) const -> double
{
    return std::min(1.0, static_cast<double>(m_caches.heldBy(engine)) / m_costs.cacheCapacityTokens);
}

auto Placer::cacheSavings(const ScheduledCall& call, const CacheEstimates::Copy& copy) const -> double
{
    const auto cached = static_cast<double>(std::min(copy.tokens, call.promptTokens));
    return m_costs.prefillMsPerToken * cached * (1 + cacheFullness(copy.engine));
}

auto Placer::costOfWaiting(const ScheduledCall& call, const EngineRegistry& engines, const CacheEstimates::Copy& copy, Instant now,
                           Milliseconds waited) const -> std::optional<double>
{
    const auto& state = engines.at(copy.engine);
    if (state.spec.isDrained || !state.configured || !state.reported) {
        return std::nullopt;
    }
    const auto slotWait = m_meanPermitMs / std::max(1.0, static_cast<double>(state.inFlight)) + static_cast<double>(waited.count());
    return costWithoutCache(call, engines, copy.engine, now) - cacheSavings(call, copy) + slotWait;
}

auto Placer::choose(const ScheduledCall& call, const EngineRegistry& engines, const std::vector<EngineIndex>& free, Instant now,
                    Milliseconds waited) const -> std::optional<Choice>
{
    const auto& copies = m_caches.copies(call.program);
    auto best = std::optional<Choice>();
    auto bestCost = 0.0;
    for (const auto index : free) {
        const auto copy = std::ranges::find(copies, index, &CacheEstimates::Copy::engine);
        const auto cached = copy != copies.end();
        const auto cost = costWithoutCache(call, engines, index, now) - (cached ? cacheSavings(call, *copy) : 0);
        if (!best || cost < bestCost) {
            best = Choice{index, cached && 2 * copy->tokens > call.promptTokens};
            bestCost = cost;
        }
    }
    for (const auto& copy : copies) {
        if (std::ranges::find(free, copy.engine) != free.end()) {
            continue;
        }
        const auto cost = costOfWaiting(call, engines, copy, now, waited);
        if (cost && *cost < bestCost) {
            return std::nullopt;
        }
    }
    return best;
}

auto Placer::started(const ScheduledCall& call, EngineIndex engine, Instant now) -> void
{
    if (engine >= m_prefillUntil.size()) {
        m_prefillUntil.resize(engine + 1);
    }
    const auto work = m_costs.prefillMsPerToken * static_cast<double>(uncached(call, engine)) * s_microsecondsPerMs;
    m_prefillUntil[engine] = std::max(m_prefillUntil[engine], now) + Microseconds(static_cast<std::int64_t>(work));
    if (!call.program.empty()) {
        m_caches.set(engine, call.program, call.promptTokens);
    }
}

auto Placer::ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, Milliseconds heldTime) -> void
{
    m_meanPermitMs = smooth(m_meanPermitMs, static_cast<double>(heldTime.count()));
    if (use.end == PermitEnd::ConnectionFailed && !call.program.empty()) {
        m_caches.set(engine, call.program, 0);
    }
    if (use.end != PermitEnd::Finished) {
        return;
    }
    m_meanAnswerTokens = smooth(m_meanAnswerTokens, static_cast<double>(use.completionTokens));
    if (!call.program.empty() && use.promptTokens > 0) {
        m_caches.set(engine, call.program, use.promptTokens + use.completionTokens);
    }
}

} // namespace laburnummill::scheduling
