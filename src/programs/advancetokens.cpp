#include "programs/advancetokens.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Most programs send their next turn within this time.
constexpr auto s_holdTime = Milliseconds(1'000);

/// Weight of the last request in the share of requests that were of use.
constexpr auto s_usedShareWeight = 0.02;

/// Below this share, a request in advance and its return cost more calls than they save. This is the case where the turns of a program
/// reach a different host each time.
constexpr auto s_minUsedShare = 0.1;
constexpr auto s_skippedRequests = std::uint64_t{15};

/// A home host that has to claim tokens waits up to 60 ms for the store before it asks other hosts.
constexpr auto s_minHomeWait = Milliseconds(100);
constexpr auto s_maxHomeWait = Milliseconds(400);
constexpr auto s_homeWaitFactor = 3;
constexpr auto s_recentAnswers = std::size_t{64};

/// Home hosts are chosen anew about a second after one has become silent.
constexpr auto s_silencePeriod = Milliseconds(1'000);

/// Several times the largest fleet: addresses of former hosts are dropped at this number.
constexpr auto s_maxHosts = std::size_t{1'000};

} // namespace

auto AdvanceTokens::onTurnEnded(const ProgramKey& key, std::uint64_t free, std::uint64_t turnTokens, Instant now) -> Plan
{
    auto plan = Plan{.returned = hold(key, free, turnTokens, now), .requested = 0};
    auto& entry = m_entries[key];
    const auto held = free + entry.requested;
    if (held < turnTokens && entry.requested == 0) {
        if (isRequestDue()) {
            plan.requested = turnTokens - held;
            entry.requested = plan.requested;
            entry.isAwaitingUse = true;
        } else {
            plan.returned = free; // Too few for a turn.
        }
    }
    return plan;
}

auto AdvanceTokens::isRequestDue() -> bool
{
    if (m_usedShare >= s_minUsedShare || ++m_skipped > s_skippedRequests) {
        m_skipped = 0;
        return true;
    }
    return false;
}

auto AdvanceTokens::onRequestEnded(const ProgramKey& key) -> void
{
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        found->second.requested = 0;
    }
}

auto AdvanceTokens::onUsed(const ProgramKey& key) -> void
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.isAwaitingUse) {
        found->second.isAwaitingUse = false;
        m_usedShare += s_usedShareWeight * (1 - m_usedShare);
    }
}

auto AdvanceTokens::hold(const ProgramKey& key, std::uint64_t free, std::uint64_t turnTokens, Instant now) -> std::uint64_t
{
    auto& entry = m_entries[key];
    entry.heldUntil = now + s_holdTime;
    const auto held = free + entry.requested;
    return std::min(free, held - std::min(held, turnTokens));
}

auto AdvanceTokens::takeExpired(Instant now) -> std::vector<ProgramKey>
{
    auto expired = std::vector<ProgramKey>();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        // The answer to a request in progress may still bring tokens.
        if (entry->second.heldUntil > now || entry->second.requested > 0) {
            ++entry;
            continue;
        }
        if (entry->second.isAwaitingUse) {
            m_usedShare -= s_usedShareWeight * m_usedShare;
        }
        expired.push_back(entry->first);
        entry = m_entries.erase(entry);
    }
    return expired;
}

auto HomeWait::limit() const -> Milliseconds
{
    if (m_recent.empty()) {
        return s_minHomeWait;
    }
    auto durations = m_recent;
    const auto usual = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() * 9 / 10);
    std::ranges::nth_element(durations, usual);
    return std::clamp(*usual * s_homeWaitFactor, s_minHomeWait, s_maxHomeWait);
}

auto HomeWait::onAnswered(const std::string& address, Instant askedAt, Instant now) -> void
{
    const auto took = std::chrono::duration_cast<Milliseconds>(now - askedAt);
    if (m_recent.size() < s_recentAnswers) {
        m_recent.push_back(took);
    } else {
        m_recent[m_next++ % s_recentAnswers] = took;
    }
    onHeard(address, now);
}

auto HomeWait::onHeard(const std::string& address, Instant now) -> void
{
    if (m_hosts.size() > s_maxHosts) {
        m_hosts.clear();
    }
    m_hosts[address] = {.answeredAt = now, .silentUntil = {}};
}

auto HomeWait::onOverdue(const std::string& address, Instant askedAt, Instant now) -> void
{
    auto& host = m_hosts[address];
    if (host.answeredAt < askedAt) { // A host that answers other requests waits for the store or for turns.
        host.silentUntil = now + s_silencePeriod;
    }
}

auto HomeWait::isSilent(const std::string& address, Instant now) const -> bool
{
    const auto found = m_hosts.find(address);
    return found != m_hosts.end() && now < found->second.silentUntil;
}

} // namespace laburnummill::programs
