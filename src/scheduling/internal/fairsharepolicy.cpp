#include "scheduling/internal/fairsharepolicy.h"

#include <algorithm>

namespace laburnummill::scheduling {

using framework::Instant;
using framework::Milliseconds;

namespace {

constexpr auto s_maxTriesPerDecision = 24;
constexpr auto s_arrivalsPerCleanup = std::uint32_t{4'096};
constexpr auto s_programRetention = framework::Seconds(3'600);
constexpr auto s_microsecondsPerSecond = 1'000'000.0;
constexpr auto s_completionWeight = 4.0; ///< cost of a generated token in prompt tokens

auto rootOf(const ScheduledCall& call) -> const std::string&
{
    return call.root.empty() ? call.program : call.root;
}

auto freeEngines(const EngineRegistry& engines, Instant now) -> std::vector<EngineIndex>
{
    auto free = std::vector<EngineIndex>();
    for (auto index = EngineIndex{0}; index < engines.size(); ++index) {
        if (engines.freeSlots(index, now) > 0) {
            free.push_back(index);
        }
    }
    return free;
}

constexpr auto s_byScore = [](const auto& left, const auto& right) { return left.score > right.score; };

} // namespace

FairSharePolicy::FairSharePolicy(FairShareWeights weights)
    : m_weights(weights)
    , m_placer(weights.placement)
{}

auto FairSharePolicy::account(const std::string& name) -> Account&
{
    return m_accounts[name];
}

auto FairSharePolicy::setWeight(const std::string& name, double weight) -> void
{
    account(name).weight = weight;
}

auto FairSharePolicy::leastVirtualTime() const -> double
{
    auto least = m_virtualNow;
    auto any = false;
    for (const auto& [name, account] : m_accounts) {
        if (!account.waiting.empty() && (!any || account.virtualTime < least)) {
            least = account.virtualTime;
            any = true;
        }
    }
    return least;
}

auto FairSharePolicy::programKey(const ScheduledCall& call, Instant now) -> double
{
    const auto age = [this](Instant since) {
        return m_weights.ageingTokensPerSecond * static_cast<double>(since.time_since_epoch().count()) / s_microsecondsPerSecond;
    };
    if (call.program.empty()) {
        return age(now);
    }
    auto& program = m_programs[rootOf(call)];
    if (program.lastSeen == Instant()) {
        program.firstSeen = now;
    }
    program.lastSeen = now;
    return program.attained + age(program.firstSeen);
}

auto FairSharePolicy::add(const ScheduledCall& call, Instant now) -> void
{
    auto& owner = account(call.account);
    if (owner.waiting.empty()) {
        // NOTE An account without waiting calls accumulates no credit.
        owner.virtualTime = std::max(owner.virtualTime, leastVirtualTime());
    }
    const auto order = Order::key_type(programKey(call, now), m_nextArrival++);
    owner.waiting.emplace(order, Waiting{call, now});
    m_positions.emplace(call.key, QueuePosition{&owner, order});
    if (++m_arrivalsSinceCleanup >= s_arrivalsPerCleanup) {
        removeIdlePrograms(now);
    }
}

auto FairSharePolicy::remove(const PermitKey& key) -> void
{
    const auto found = m_positions.find(key);
    if (found != m_positions.end()) {
        found->second.account->waiting.erase(found->second.order);
        m_positions.erase(found);
    }
}

auto FairSharePolicy::candidate(Account& account, Order::const_iterator waiting) const -> Candidate
{
    const auto score = accountTerm(account.virtualTime) + (1 - m_weights.fairness) * waiting->first.first;
    return {score, &account, waiting};
}

auto FairSharePolicy::heads() -> std::vector<Candidate>
{
    auto heads = std::vector<Candidate>();
    for (auto& [name, account] : m_accounts) {
        if (!account.waiting.empty()) {
            heads.push_back(candidate(account, account.waiting.begin()));
        }
    }
    std::ranges::make_heap(heads, s_byScore);
    return heads;
}

auto FairSharePolicy::choose(const EngineRegistry& engines, Instant now) -> std::optional<Placement>
{
    const auto free = freeEngines(engines, now);
    auto candidates = free.empty() ? std::vector<Candidate>() : heads();
    auto fallback = std::optional<Placement>();
    for (auto tries = 0; tries < s_maxTriesPerDecision && !candidates.empty(); ++tries) {
        std::ranges::pop_heap(candidates, s_byScore);
        const auto head = candidates.back();
        candidates.pop_back();
        const auto& waiting = head.waiting->second;
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - waiting.since);
        if (const auto choice = m_placer.choose(waiting.call, engines, free, now, waited)) {
            const auto placement = Placement{waiting.call.key, choice->engine};
            // NOTE A call with a cached prompt may overtake a call without one until that call has waited for maxBypassTime.
            if (choice->holdsCache || (!fallback && waited >= m_weights.maxBypassTime)) {
                return placement;
            }
            fallback = fallback ? fallback : placement;
        }
        const auto next = std::next(head.waiting);
        if (next != head.account->waiting.end()) {
            candidates.push_back(candidate(*head.account, next));
            std::ranges::push_heap(candidates, s_byScore);
        }
    }
    return fallback;
}

auto FairSharePolicy::firstToRefuse() const -> std::optional<PermitKey>
{
    const Account* longest = nullptr;
    const auto backlog = [](const Account& account) { return static_cast<double>(account.waiting.size()) / account.weight; };
    for (const auto& [name, account] : m_accounts) {
        if (!account.waiting.empty() && (longest == nullptr || backlog(account) > backlog(*longest))) {
            longest = &account;
        }
    }
    return longest == nullptr ? std::nullopt : std::optional(longest->waiting.rbegin()->second.call.key);
}

auto FairSharePolicy::callsAhead(const std::string& name) const -> std::size_t
{
    const auto found = m_accounts.find(name);
    const auto own = found == m_accounts.end() ? std::size_t{0} : found->second.waiting.size();
    const auto busy = std::ranges::count_if(m_accounts, [](const auto& entry) { return !entry.second.waiting.empty(); });
    return std::min(m_positions.size(), (own + 1) * static_cast<std::size_t>(busy));
}

auto FairSharePolicy::charge(const ScheduledCall& call, double tokens) -> void
{
    auto& owner = account(call.account);
    owner.virtualTime += tokens / owner.weight;
    if (!call.program.empty()) {
        m_programs[rootOf(call)].attained += tokens;
    }
}

auto FairSharePolicy::started(const ScheduledCall& call, EngineIndex engine, Instant now) -> void
{
    m_virtualNow = std::max(m_virtualNow, account(call.account).virtualTime);
    m_placer.started(call, engine, now);
    charge(call, s_completionWeight * m_weights.placement.expectedTokens);
}

auto FairSharePolicy::ended(const ScheduledCall& call, EngineIndex engine, const PermitUse& use, Milliseconds heldTime) -> void
{
    m_placer.ended(call, engine, use, heldTime);
    const auto computed = static_cast<double>(use.promptTokens - std::min(use.promptTokens, use.cachedTokens));
    const auto served = computed + s_completionWeight * static_cast<double>(use.completionTokens);
    charge(call, served - s_completionWeight * m_weights.placement.expectedTokens);
}

auto FairSharePolicy::cacheChanged(EngineIndex engine, const std::string& program, std::uint64_t tokens) -> void
{
    m_placer.caches().set(engine, program, tokens);
}

auto FairSharePolicy::cacheLost(EngineIndex engine) -> void
{
    m_placer.caches().clear(engine);
}

auto FairSharePolicy::removeIdlePrograms(Instant now) -> void
{
    m_arrivalsSinceCleanup = 0;
    std::erase_if(m_programs, [now](const auto& entry) { return now - entry.second.lastSeen > s_programRetention; });
}

} // namespace laburnummill::scheduling
