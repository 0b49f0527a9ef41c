#include "coordination/internal/participant.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Instant;
using framework::Json;

namespace {

constexpr auto s_maxEarlierViews = std::size_t{8}; ///< if a view has this many, hosts join only after all of them are settled

auto byId(const Member& left, const Member& right) -> bool
{
    return left.id < right.id;
}

} // namespace

auto Participant::lostMembers(Instant now) const -> std::set<MemberId>
{
    //! NOTE An acting owner continues to act in the next view if it has already received the fences of the members ranked before
    //! it. The delay of two renewal intervals gives all members time to receive the fences.
    const auto isFenceKnownToAll = m_fencedSince && now - *m_fencedSince >= 2 * m_rules.renewalInterval;
    auto lost = isFenceKnownToAll ? m_lease->fencedMembers() : std::set<MemberId>();
    if (!hasLease(now) && now - m_lastLeaseAt >= m_rules.quorumLossTimeout && !m_listedHosts.empty()) {
        for (const auto& member : m_lease->unreachableWitnesses(m_lastLeaseAt)) {
            if (!m_listedHosts.contains(member.host)) {
                lost.insert(member);
            }
        }
    }
    lost.erase(m_self.id);
    return lost;
}

auto Participant::nextMembers(Instant now) const -> std::optional<std::vector<Member>>
{
    if (!m_view) {
        return m_isLeaving ? std::nullopt : std::optional(std::vector<Member>{m_self});
    }
    auto members = m_view->members;
    if (m_isLeaving) {
        if (!m_view->contains(m_self.id)) {
            return std::nullopt;
        }
        std::erase_if(members, [&](const auto& member) { return member.id == m_self.id; });
        return members;
    }
    if (!m_view->contains(m_self.id)) {
        if (m_view->earlier.size() >= s_maxEarlierViews && !m_transition->isSettled(now)) {
            return std::nullopt;
        }
        std::erase_if(members, [&](const auto& member) { return member.id.host == m_self.id.host; });
        members.push_back(m_self);
        std::ranges::sort(members, byId);
        return members;
    }
    const auto lost = lostMembers(now);
    if (lost.empty()) {
        return std::nullopt;
    }
    std::erase_if(members, [&](const auto& member) { return lost.contains(member.id); });
    return members;
}

auto Participant::nextView(std::vector<Member> members, Instant now) const -> View
{
    auto next = View{m_self.dataCentre, 1, std::move(members), {}};
    if (!m_view) {
        return next;
    }
    next.number = m_view->number + 1;
    for (const auto& earlier : m_view->earlier) {
        if (!m_transition->isSettled(earlier.number, now)) {
            next.earlier.push_back(earlier);
        }
    }
    auto last = EarlierView{m_view->number, m_view->members, {}};
    if (m_isLeaving) {
        for (auto& earlier : next.earlier) {
            earlier.released.insert(m_self.id);
        }
        last.released.insert(m_self.id);
    }
    next.earlier.push_back(std::move(last));
    return next;
}

auto Participant::propose(Instant now) -> void
{
    if (now < m_nextProposalAt || isPending(m_writeRequest, now) || isPending(m_viewRequest, now)) {
        return;
    }
    auto members = nextMembers(now);
    if (!members) {
        return;
    }
    const auto isCurrent = m_storedRow && (m_storedRow->view ? m_view && m_storedRow->view->number == m_view->number : !m_view);
    if (!isCurrent) {
        readView(m_self.dataCentre, now);
        return;
    }
    m_proposedView = std::make_shared<const View>(nextView(std::move(*members), now));
    m_writeRequest = StoreRequest{++m_lastId, now, m_self.dataCentre};
    m_actions.push_back(WriteView{m_writeRequest->id, m_proposedView, m_storedRow->version});
    //! NOTE The row that was read is discarded until the outcome of the write is known, also if no answer arrives.
    m_storedRow.reset();
}

auto Participant::view(std::string_view dataCentre) const -> ViewPtr
{
    if (dataCentre == m_self.dataCentre) {
        return m_view;
    }
    const auto found = m_otherViews.find(dataCentre);
    return found == m_otherViews.end() ? nullptr : found->second;
}

auto Participant::dataCentres() const -> std::vector<std::string>
{
    auto names = std::set<std::string>{m_self.dataCentre};
    for (const auto& [dataCentre, view] : m_otherViews) {
        names.insert(dataCentre);
    }
    return {names.begin(), names.end()};
}

auto Participant::isAlive(const MemberId& member) const -> bool
{
    if (m_view && m_view->contains(member)) {
        return !m_lease->isFenced(member);
    }
    return std::ranges::any_of(m_otherViews, [&](const auto& entry) { return entry.second->contains(member); });
}

auto Participant::hasLease(Instant now) const -> bool
{
    return m_view && !m_isLeaving && m_view->contains(m_self.id) && now < m_lease->validUntil();
}

auto Participant::isSettled(Instant now) const -> bool
{
    return m_transition && m_transition->isSettled(now);
}

auto Participant::fencedMembers() const -> std::set<MemberId>
{
    return m_lease ? m_lease->fencedMembers() : std::set<MemberId>();
}

auto Participant::ownerOf(const ShardKey& shard) const -> framework::Result<Ownership>
{
    const auto known = view(shard.dataCentre);
    if (!known) {
        return shard.dataCentre == m_self.dataCentre ? CoordinationError::NoView : CoordinationError::DataCentreUnknown;
    }
    const auto ranked = rankByRendezvous(shard, known->members);
    for (auto rank = std::size_t{0}; rank < ranked.size(); ++rank) {
        const auto& member = ranked[rank];
        if (known == m_view && m_lease->isFenced(member.id)) {
            continue;
        }
        return Ownership{member, member.id == m_self.id, known->number * s_fencingNumbersPerView + rank};
    }
    return CoordinationError::DataCentreCutOff;
}

auto Participant::mayAct(const ShardKey& shard, Instant now) -> framework::Result<std::uint64_t>
{
    if (shard.dataCentre != m_self.dataCentre) {
        return CoordinationError::NotOwner;
    }
    BOOST_OUTCOME_TRY(const auto ownership, ownerOf(shard));
    if (!ownership.isSelf) {
        return CoordinationError::NotOwner;
    }
    if (!hasLease(now) || !m_invariants.check(Invariant::LeaseBounded, m_lease->validUntil() <= now + m_rules.leaseDuration)) {
        return CoordinationError::LeaseExpired;
    }
    if (!m_transition->isSettledFor(shard, now)) {
        return CoordinationError::StaleView;
    }
    return ownership.fencing;
}

auto Participant::dump(Instant now) const -> Json
{
    auto document = Json{{"host", m_self.id.host}, {"incarnation", m_self.id.incarnation}, {"leaving", m_isLeaving}};
    document["invariantViolations"] = m_invariants.toJson();
    for (const auto& dataCentre : dataCentres()) {
        if (const auto known = view(dataCentre)) {
            document["views"][dataCentre] = toJson(*known);
        }
    }
    if (!m_view) {
        return document;
    }
    const auto remaining = std::chrono::duration_cast<framework::Milliseconds>(m_lease->validUntil() - now);
    document["leaseRemainingMs"] = hasLease(now) ? remaining.count() : 0;
    document["earlierViewsSettled"] = isSettled(now);
    auto fenced = Json::array();
    for (const auto& member : m_lease->fencedMembers()) {
        fenced.push_back(member.host);
    }
    document["fenced"] = std::move(fenced);
    return document;
}

} // namespace laburnummill::coordination
