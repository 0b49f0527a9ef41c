#include "calls/internal/attemptregistry.h"

#include <algorithm>

namespace laburnummill::calls {

namespace {

constexpr auto s_maxLive = std::size_t{256};

} // namespace

auto AttemptRegistry::tryAdd(const IntentKey& key, std::string attempt, std::string bodyDigest) -> AddResult
{
    if (const auto* live = find(key)) {
        return live->bodyDigest == bodyDigest ? AddResult::Joined : AddResult::BodyMismatch;
    }
    if (m_live.size() >= s_maxLive) {
        return AddResult::Full;
    }
    m_live[key] = {{std::move(attempt), std::move(bodyDigest), std::nullopt, false}, {}};
    return AddResult::Added;
}

auto AttemptRegistry::markSent(const IntentKey& key, std::string_view attempt) -> bool
{
    const auto found = m_live.find(key);
    if (found == m_live.end() || found->second.attempt.attempt != attempt || found->second.attempt.sent) {
        ++m_violations;
        return false;
    }
    found->second.attempt.sent = true;
    return true;
}

auto AttemptRegistry::clearSent(const IntentKey& key) -> void
{
    if (const auto found = m_live.find(key); found != m_live.end()) {
        found->second.attempt.sent = false;
    }
}

auto AttemptRegistry::publish(const IntentKey& key, CallOutcome outcome) -> void
{
    const auto found = m_live.find(key);
    if (found == m_live.end() || found->second.attempt.outcome) {
        return;
    }
    found->second.attempt.outcome = outcome;
    const auto waiters = std::exchange(found->second.waiters, {});
    for (const auto& waiter : waiters) {
        waiter(outcome);
    }
}

auto AttemptRegistry::erase(const IntentKey& key) -> void
{
    m_live.erase(key);
}

auto AttemptRegistry::wait(const IntentKey& key, Waiter waiter) -> void
{
    const auto found = m_live.find(key);
    if (found == m_live.end()) {
        return;
    }
    if (found->second.attempt.outcome) {
        waiter(*found->second.attempt.outcome);
        return;
    }
    found->second.waiters.push_back(std::move(waiter));
}

auto AttemptRegistry::find(const IntentKey& key) const -> const LiveAttempt*
{
    const auto found = m_live.find(key);
    return found == m_live.end() ? nullptr : &found->second.attempt;
}

auto AttemptRegistry::unrecordedCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_live, [](const auto& entry) { return entry.second.attempt.outcome.has_value(); }));
}

} // namespace laburnummill::calls
