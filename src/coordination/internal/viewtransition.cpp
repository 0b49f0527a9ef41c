#include "coordination/internal/viewtransition.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Instant;

ViewTransition::ViewTransition(const ProtocolRules& rules, MemberId self, const View& view,
                               std::map<std::uint64_t, std::set<MemberId>> fenced, Instant now)
    : m_rules(rules)
    , m_self(std::move(self))
    , m_view(view.number)
    , m_adoptedAt(now)
{
    for (const auto& earlier : view.earlier) {
        auto progress = Progress{earlier, witnessesOf(earlier.number, earlier.members), 0, {}, {}, {}, earlier.released, std::nullopt};
        progress.quorum = quorumsOf(progress.witnesses.size(), m_rules).acknowledge;
        progress.inactive.insert(m_self);
        progress.inactive.merge(fenced[earlier.number]);
        for (const auto& member : earlier.members) {
            if (!hasOtherIncarnation(view.members, member.id) && !earlier.released.contains(member.id)) {
                continue;
            }
            progress.inactive.insert(member.id);
            if (containsMember(progress.witnesses, member.id)) {
                progress.departed.insert(member.id);
            }
        }
        checkQuorum(progress, now);
        m_progress.push_back(std::move(progress));
    }
}

auto ViewTransition::checkQuorum(Progress& progress, Instant now) const -> void
{
    if (!progress.acknowledgedAt && progress.acknowledged.size() + progress.departed.size() >= progress.quorum) {
        progress.acknowledgedAt = now;
    }
}

auto ViewTransition::recordAnswer(const RenewAnswer& answer, Instant now) -> void
{
    for (auto& progress : m_progress) {
        if (answer.view >= m_view) {
            progress.inactive.insert(answer.released.begin(), answer.released.end());
        }
        if (answer.view <= progress.view.number || !containsMember(progress.witnesses, answer.from)) {
            continue;
        }
        if (progress.acknowledged.insert(answer.from).second) {
            for (const auto& fence : answer.fences) {
                progress.mayBeFenced.insert(fence.member);
            }
        }
        checkQuorum(progress, now);
    }
}

auto ViewTransition::hasExpired(const Progress& progress, Instant now) const -> bool
{
    const auto lease = m_rules.withDrift(m_rules.leaseDuration);
    if (progress.acknowledgedAt && now >= *progress.acknowledgedAt + lease) {
        return true;
    }
    return now >= m_adoptedAt + m_rules.withDrift(m_rules.maxDurationWithoutStore) + lease;
}

auto ViewTransition::isSettled(const Progress& progress, Instant now) const -> bool
{
    if (!m_rules.awaitEarlierLeases || hasExpired(progress, now)) {
        return true;
    }
    const auto allInactive =
        std::ranges::all_of(progress.view.members, [&](const auto& member) { return progress.inactive.contains(member.id); });
    return allInactive;
}

//! NOTE A member of the earlier view acts only if all members ranked before it are fenced, each by E witnesses. Any A witnesses
//! that acknowledged the new view include one of those E. If none of these A fenced a member, no lower-ranked member acts.
auto ViewTransition::isSettledFor(const Progress& progress, const ShardKey& shard, Instant now) const -> bool
{
    if (isSettled(progress, now)) {
        return true;
    }
    if (progress.acknowledged.size() < progress.quorum) {
        return false;
    }
    for (const auto& member : rankByRendezvous(shard, progress.view.members)) {
        if (!progress.inactive.contains(member.id)) {
            return false;
        }
        if (!progress.mayBeFenced.contains(member.id)) {
            return true;
        }
    }
    return true;
}

auto ViewTransition::isSettledFor(const ShardKey& shard, Instant now) const -> bool
{
    return std::ranges::all_of(m_progress, [&](const auto& progress) { return isSettledFor(progress, shard, now); });
}

auto ViewTransition::isSettled(std::uint64_t earlierView, Instant now) const -> bool
{
    const auto found = std::ranges::find_if(m_progress, [&](const auto& progress) { return progress.view.number == earlierView; });
    return found != m_progress.end() && isSettled(*found, now);
}

auto ViewTransition::isSettled(Instant now) const -> bool
{
    return std::ranges::all_of(m_progress, [&](const auto& progress) { return isSettled(progress, now); });
}

auto ViewTransition::witnessesToContact(Instant now) const -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (const auto& progress : m_progress) {
        if (progress.acknowledged.size() >= progress.quorum || isSettled(progress, now)) {
            continue;
        }
        for (const auto& witness : progress.witnesses) {
            if (!containsMember(members, witness.id)) {
                members.push_back(witness);
            }
        }
    }
    return members;
}

auto ViewTransition::fencedByView() const -> std::map<std::uint64_t, std::set<MemberId>>
{
    auto fenced = std::map<std::uint64_t, std::set<MemberId>>();
    for (const auto& progress : m_progress) {
        fenced[progress.view.number] = progress.inactive;
    }
    return fenced;
}

} // namespace laburnummill::coordination
