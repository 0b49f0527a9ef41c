#include "coordination/internal/memberlease.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Instant;

MemberLease::MemberLease(const ProtocolRules& rules, ViewPtr view)
    : m_rules(rules)
    , m_view(std::move(view))
    , m_witnesses(witnessesOf(m_view->number, m_view->members))
    , m_quorums(quorumsOf(m_witnesses.size(), rules))
{
    for (const auto& witness : m_witnesses) {
        m_witnessStates[witness.id] = {};
    }
}

auto MemberLease::recordAnswer(const RenewAnswer& answer, Instant start, Instant now) -> void
{
    const auto found = m_witnessStates.find(answer.from);
    if (found == m_witnessStates.end() || (answer.view != m_view->number && m_rules.laterViewEndsPromises)) {
        return;
    }
    auto& state = found->second;
    state.answeredAt = now;
    if (answer.promised) {
        const auto from = m_rules.leaseFromStart ? start : now;
        state.promisedFrom = std::max(state.promisedFrom.value_or(from), from);
    }
    for (const auto& fence : answer.fences) {
        if (fence.view == m_view->number) {
            state.fenced.insert(fence.member);
        }
    }
    state.suspects = {answer.suspects.begin(), answer.suspects.end()};
    if (answer.confirmedAgo) {
        confirm(start - m_rules.withDrift(*answer.confirmedAgo));
    }
}

auto MemberLease::confirm(Instant start) -> void
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(start), start);
}

auto MemberLease::quorumPromiseStart(std::size_t quorum) const -> std::optional<Instant>
{
    auto starts = std::vector<Instant>();
    for (const auto& [member, state] : m_witnessStates) {
        if (state.promisedFrom) {
            starts.push_back(*state.promisedFrom);
        }
    }
    if (quorum == 0) {
        return Instant::max() - m_rules.leaseDuration;
    }
    if (starts.size() < quorum) {
        return std::nullopt;
    }
    std::ranges::sort(starts, std::greater<>());
    return starts[quorum - 1];
}

auto MemberLease::validUntil() const -> Instant
{
    auto until = Instant::min();
    const auto withStore = quorumPromiseStart(m_quorums.acknowledge);
    if (withStore && m_confirmedAt) {
        until = std::min(*withStore, *m_confirmedAt) + m_rules.leaseDuration;
    }
    const auto withoutStore = quorumPromiseStart(m_quorums.promise);
    if (withoutStore && !m_rules.limitDurationWithoutStore) {
        return std::max(until, *withoutStore + m_rules.leaseDuration);
    }
    if (withoutStore && m_confirmedAt) {
        until = std::max(until, std::min(*withoutStore + m_rules.leaseDuration, *m_confirmedAt + m_rules.maxDurationWithoutStore));
    }
    return until;
}

auto MemberLease::isFenced(const MemberId& member) const -> bool
{
    const auto count = std::ranges::count_if(m_witnessStates, [&](const auto& entry) { return entry.second.fenced.contains(member); });
    return static_cast<std::size_t>(count) >= fenceQuorum();
}

auto MemberLease::fencedMembers() const -> std::set<MemberId>
{
    auto members = std::set<MemberId>();
    for (const auto& member : m_view->members) {
        if (isFenced(member.id)) {
            members.insert(member.id);
        }
    }
    return members;
}

auto MemberLease::isFencedByAny(const MemberId& member) const -> bool
{
    return std::ranges::any_of(m_witnessStates, [&](const auto& entry) { return entry.second.fenced.contains(member); });
}

auto MemberLease::suspects(Instant now) const -> std::vector<MemberId>
{
    const auto isRecent = [&](const WitnessState& state) { return state.answeredAt && now - *state.answeredAt < m_rules.suspicionTimeout; };
    auto members = std::vector<MemberId>();
    for (const auto& member : m_view->members) {
        const auto count = std::ranges::count_if(
            m_witnessStates, [&](const auto& entry) { return isRecent(entry.second) && entry.second.suspects.contains(member.id); });
        if (static_cast<std::size_t>(count) >= fenceQuorum()) {
            members.push_back(member.id);
        }
    }
    return members;
}

auto MemberLease::unreachableWitnesses(Instant since) const -> std::vector<MemberId>
{
    auto members = std::vector<MemberId>();
    for (const auto& [member, state] : m_witnessStates) {
        if (!state.answeredAt || *state.answeredAt < since) {
            members.push_back(member);
        }
    }
    return members;
}

} // namespace laburnummill::coordination
