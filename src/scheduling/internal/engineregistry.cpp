#include "scheduling/internal/engineregistry.h"

#include <algorithm>

namespace laburnummill::scheduling {

using framework::Instant;

auto AdmissionRules::isWarm(const EngineState& engine, Instant now) const -> bool
{
    if (engine.reportedCold || now - engine.lastReport > m_settings.reportLifetime) {
        return false;
    }
    return engine.confirmedWarm || (engine.healthySince && now - *engine.healthySince >= m_settings.minHealthyTime);
}

auto AdmissionRules::capacity(const EngineState& engine, Instant now) const -> std::uint32_t
{
    return isWarm(engine, now) ? engine.spec.concurrency : std::min(engine.spec.coldConcurrency, engine.spec.concurrency);
}

auto AdmissionRules::takesNew(const EngineState& engine, Instant now) const -> bool
{
    return engine.configured && !engine.spec.isDrained && engine.reported && now - engine.lastReport <= m_settings.reportLifetime;
}

auto EngineRegistry::configure(const std::vector<EngineSpec>& specs) -> void
{
    for (auto& engine : m_engines) {
        engine.configured = false;
    }
    for (const auto& spec : specs) {
        const auto [position, added] = m_byName.emplace(spec.name, static_cast<EngineIndex>(m_engines.size()));
        if (added) {
            m_engines.emplace_back();
        }
        auto& engine = m_engines[position->second];
        engine.spec = spec;
        engine.configured = true;
    }
}

auto EngineRegistry::find(const std::string& name) const -> std::optional<EngineIndex>
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? std::nullopt : std::optional(found->second);
}

auto EngineRegistry::freeSlots(EngineIndex index, Instant now) const -> std::uint32_t
{
    const auto& engine = m_engines[index];
    if (!m_rules.takesNew(engine, now)) {
        return 0;
    }
    const auto used = engine.inFlight + engine.orphans;
    const auto capacity = m_rules.capacity(engine, now);
    return capacity > used ? capacity - used : 0;
}

auto EngineRegistry::totalSlots(Instant now) const -> std::uint32_t
{
    auto total = std::uint32_t{0};
    for (const auto& engine : m_engines) {
        total += m_rules.takesNew(engine, now) ? m_rules.capacity(engine, now) : 0;
    }
    return total;
}

auto EngineRegistry::totalInFlight() const -> std::uint64_t
{
    auto total = std::uint64_t{0};
    for (const auto& engine : m_engines) {
        total += engine.inFlight;
    }
    return total;
}

auto EngineRegistry::anyTakesNew(Instant now) const -> bool
{
    return std::ranges::any_of(m_engines, [&](const auto& engine) { return m_rules.takesNew(engine, now); });
}

auto EngineRegistry::addInFlight(EngineIndex index, std::uint64_t promptTokens) -> void
{
    ++m_engines[index].inFlight;
    m_engines[index].tokensInFlight += promptTokens;
}

auto EngineRegistry::removeInFlight(EngineIndex index, std::uint64_t promptTokens) -> void
{
    --m_engines[index].inFlight;
    m_engines[index].tokensInFlight -= promptTokens;
}

auto EngineRegistry::applyReport(EngineIndex index, const EngineReport& report, Instant now) -> bool
{
    auto& engine = m_engines[index];
    const auto restarted = engine.reported && engine.startId != report.startId;
    if (restarted || (engine.confirmedWarm && engine.startId != report.startId)) {
        markCold(index);
    }
    engine.startId = report.startId;
    engine.reported = true;
    engine.reportedCold = report.cold;
    engine.lastReport = now;
    engine.models = report.models;
    if (report.cold) {
        markCold(index);
    } else if (!engine.healthySince) {
        engine.healthySince = now;
    }
    engine.lastRunning = report.running + report.waiting;
    if (restarted) {
        engine.orphans = 0;
    }
    return restarted;
}

auto EngineRegistry::saveReport(EngineIndex index) -> void
{
    m_engines[index].savedRunning = m_engines[index].lastRunning;
    m_engines[index].savedReportAt = m_engines[index].lastReport;
}

auto EngineRegistry::limitOrphans(EngineIndex index, std::uint32_t amount) -> void
{
    m_engines[index].orphans = std::min(m_engines[index].orphans, amount);
}

auto EngineRegistry::markCold(EngineIndex index) -> void
{
    auto& engine = m_engines[index];
    engine.healthySince.reset();
    engine.confirmedWarm = false;
    engine.reportedCold = true;
}

auto EngineRegistry::expireOrphans(Instant now) -> void
{
    for (auto& engine : m_engines) {
        if (engine.orphans > 0 && now >= engine.orphansExpireAt) {
            engine.orphans = 0;
        }
    }
}

auto EngineRegistry::countOrphans(EngineIndex index, std::uint32_t amount, Instant until) -> void
{
    m_engines[index].orphans = amount;
    m_engines[index].orphansExpireAt = until;
}

} // namespace laburnummill::scheduling
