#pragma once

#include "scheduling/internal/ipolicy.h"
#include "scheduling/internal/placement.h"

#include <map>
#include <set>
#include <unordered_map>

namespace laburnummill::scheduling {

/// Weights of the fair-share policy.
struct FairShareWeights
{
    double fairness = 0.5;                         ///< 0: minimise program latency only, 1: equal shares only
    double ageingTokensPerSecond = 100'000;        ///< tokens deducted from a program's attained service per second of its age
    framework::Milliseconds maxBypassTime{10'000}; ///< how long calls with a cached prompt may overtake a call
    PlacementCosts placement;
};

/// The default policy. Between client accounts: weighted fair sharing by virtual time in tokens (start-time fair queueing,
/// Goyal et al. 1996). Within an account: the program with the least attained service first (as in PLAS, Autellix, Luo et al.
/// 2025), with ageing. Placement by estimated finishing time.
class FairSharePolicy : public IPolicy
{
public:
    explicit FairSharePolicy(FairShareWeights weights);

    auto add(const ScheduledCall& call, framework::Instant now) -> void override;
    auto remove(const PermitKey& key) -> void override;
    auto choose(const EngineRegistry& engines, framework::Instant now) -> std::optional<Placement> override;
    auto firstToRefuse() const -> std::optional<PermitKey> override;
    auto callsAhead(const std::string& account) const -> std::size_t override;
    auto started(const ScheduledCall& call, EngineIndex engine, framework::Instant now) -> void override;
    auto ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, framework::Milliseconds heldTime) -> void override;
    auto cacheChanged(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void override;
    auto cacheLost(EngineIndex engine) -> void override;
    auto setWeight(const std::string& account, double weight) -> void override;

protected:
    /// The account's term of the score; the call with the smallest score is served next.
    virtual auto accountTerm(double virtualTime) const -> double { return m_weights.fairness * virtualTime; }

private:
    struct Waiting
    {
        ScheduledCall call;
        framework::Instant since;
    };
    using Order = std::map<std::pair<double, std::uint64_t>, Waiting>;

    struct Account
    {
        double weight = 1;
        double virtualTime = 0; ///< tokens served, divided by the weight
        Order waiting;          ///< by program key, then by arrival
    };
    struct Program
    {
        double attained = 0; ///< tokens
        framework::Instant firstSeen;
        framework::Instant lastSeen;
    };
    struct QueuePosition
    {
        Account* account;
        Order::key_type order;
    };
    struct Candidate
    {
        double score;
        Account* account;
        Order::const_iterator waiting;
    };

    auto account(const std::string& name) -> Account&;
    auto leastVirtualTime() const -> double;
    auto programKey(const ScheduledCall& call, framework::Instant now) -> double;
    auto candidate(Account& account, Order::const_iterator waiting) const -> Candidate;
    auto heads() -> std::vector<Candidate>;
    auto removeIdlePrograms(framework::Instant now) -> void;
    auto charge(const ScheduledCall& call, double tokens) -> void;

    FairShareWeights m_weights;
    Placer m_placer;
    std::map<std::string, Account> m_accounts;
    std::unordered_map<PermitKey, QueuePosition, PermitKeyHash> m_positions;
    std::unordered_map<std::string, Program> m_programs;
    std::uint64_t m_nextArrival = 1;
    double m_virtualNow = 0;
    std::uint32_t m_arrivalsSinceCleanup = 0;
};

} // namespace laburnummill::scheduling
