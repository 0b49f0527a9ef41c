#include "scheduling/internal/firstcomepolicy.h"

namespace laburnummill::scheduling {

using framework::Instant;

auto FirstComePolicy::add(const ScheduledCall& call, Instant /*now*/) -> void
{
    m_byArrival.emplace(m_nextArrival, call.key);
    m_arrivals.emplace(call.key, m_nextArrival);
    ++m_nextArrival;
}

auto FirstComePolicy::remove(const PermitKey& key) -> void
{
    const auto found = m_arrivals.find(key);
    if (found != m_arrivals.end()) {
        m_byArrival.erase(found->second);
        m_arrivals.erase(found);
    }
}

auto FirstComePolicy::choose(const EngineRegistry& engines, Instant now) -> std::optional<Placement>
{
    if (m_byArrival.empty()) {
        return std::nullopt;
    }
    const auto engine = chooseEngine(engines, now);
    return engine ? std::optional(Placement{m_byArrival.begin()->second, *engine}) : std::nullopt;
}

auto FirstComePolicy::chooseEngine(const EngineRegistry& engines, Instant now) const -> std::optional<EngineIndex>
{
    const auto count = static_cast<EngineIndex>(engines.size());
    for (auto step = EngineIndex{0}; step < count; ++step) {
        const auto index = (m_nextEngine + step) % count;
        if (engines.freeSlots(index, now) > 0) {
            return index;
        }
    }
    return std::nullopt;
}

auto FirstComePolicy::firstToRefuse() const -> std::optional<PermitKey>
{
    return m_byArrival.empty() ? std::nullopt : std::optional(m_byArrival.rbegin()->second);
}

auto FirstComePolicy::callsAhead(const std::string& /*account*/) const -> std::size_t
{
    return m_byArrival.size();
}

auto FirstComePolicy::started(const ScheduledCall& /*need*/, EngineIndex engine, Instant /*now*/) -> void
{
    m_nextEngine = engine + 1;
}

auto LeastLoadedPolicy::chooseEngine(const EngineRegistry& engines, Instant now) const -> std::optional<EngineIndex>
{
    auto best = std::optional<EngineIndex>();
    for (auto index = EngineIndex{0}; index < engines.size(); ++index) {
        if (engines.freeSlots(index, now) > 0 && (!best || engines.at(index).inFlight < engines.at(*best).inFlight)) {
            best = index;
        }
    }
    return best;
}

} // namespace laburnummill::scheduling
