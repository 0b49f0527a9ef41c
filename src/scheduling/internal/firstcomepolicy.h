#pragma once

#include "scheduling/internal/ipolicy.h"

#include <map>
#include <unordered_map>

namespace laburnummill::scheduling {

/// Baseline policy: calls in the order of arrival, engines round-robin.
class FirstComePolicy : public IPolicy
{
public:
    auto add(const ScheduledCall& call, framework::Instant now) -> void override;
    auto remove(const PermitKey& key) -> void override;
    auto choose(const EngineRegistry& engines, framework::Instant now) -> std::optional<Placement> override;
    auto firstToRefuse() const -> std::optional<PermitKey> override;
    auto callsAhead(const std::string& account) const -> std::size_t override;
    auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void override;
    auto ended(const ScheduledCall&, EngineIndex, const PermitUse&, framework::Milliseconds) -> void override {}
    auto cacheChanged(EngineIndex, const std::string&, std::uint64_t) -> void override {}
    auto cacheLost(EngineIndex) -> void override {}
    auto setWeight(const std::string&, double) -> void override {}

protected:
    virtual auto chooseEngine(const EngineRegistry& engines, framework::Instant now) const -> std::optional<EngineIndex>;

private:
    std::map<std::uint64_t, PermitKey> m_byArrival;
    std::unordered_map<PermitKey, std::uint64_t, PermitKeyHash> m_arrivals;
    std::uint64_t m_nextArrival = 1;
    EngineIndex m_nextEngine = 0;
};

/// Baseline policy: calls in the order of arrival, each to the engine with the fewest requests in flight.
class LeastLoadedPolicy final : public FirstComePolicy
{
protected:
    auto chooseEngine(const EngineRegistry& engines, framework::Instant now) const -> std::optional<EngineIndex> override;
};

} // namespace laburnummill::scheduling
