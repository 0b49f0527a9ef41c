#include "coordination/internal/participant.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Instant;
using framework::Milliseconds;

namespace {

constexpr auto s_digestInterval = Milliseconds(1'000);
constexpr auto s_proposalJitter = Milliseconds(150);
constexpr auto s_pauseThreshold = Milliseconds(1'000);    ///< a longer time between ticks means that the process was paused
constexpr auto s_fastRenewalPeriod = Milliseconds(2'000); ///< after the lease was last valid or the view was adopted

} // namespace

Participant::Participant(Member self, std::vector<framework::Endpoint> seeds, const ProtocolRules& rules, std::uint64_t seed)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_rules(rules)
    , m_random(seed)
    , m_witness(m_self.id, m_rules, m_invariants)
{}

auto Participant::tick(Instant now) -> Actions
{
    if (now - m_lastTickAt > s_pauseThreshold) {
        m_witness.resume(now);
    }
    m_lastTickAt = now;
    if (hasLease(now)) {
        m_lastLeaseAt = now;
    }
    if (now >= m_nextHeadsReadAt && !isPending(m_headsRequest, now)) {
        readHeads(now);
    }
    if (!m_lease || m_lease->fencedMembers().empty()) {
        m_fencedSince.reset();
    } else if (!m_fencedSince) {
        m_fencedSince = now;
    }
    propose(now);
    if (now >= m_nextRenewalAt) {
        renew(now);
    }
    if (now >= m_nextDigestAt) {
        m_nextDigestAt = now + s_digestInterval;
        sendDigest();
    }
    return takeActions();
}

auto Participant::receive(const LeaseMessage& message, Instant now) -> Actions
{
    if (const auto* request = std::get_if<RenewRequest>(&message)) {
        handleRequest(*request, now);
    } else if (const auto* answer = std::get_if<RenewAnswer>(&message)) {
        handleAnswer(*answer, now);
    } else if (const auto* pushed = std::get_if<ViewPush>(&message)) {
        handleView(pushed->view, now);
    } else {
        handleDigest(std::get<ViewDigest>(message));
    }
    return takeActions();
}

auto Participant::headsRead(std::uint64_t request, const std::optional<Heads>& heads, Instant now) -> Actions
{
    if (!m_headsRequest || m_headsRequest->id != request) {
        return {};
    }
    const auto start = m_rules.leaseFromStart ? m_headsRequest->start : now;
    m_headsRequest.reset();
    if (!heads) {
        return {};
    }
    if (!heads->contains(m_self.dataCentre) && !m_view && !isPending(m_viewRequest, now)) {
        readView(m_self.dataCentre, now);
    }
    for (const auto& [dataCentre, number] : *heads) {
        const auto known = view(dataCentre);
        if (dataCentre == m_self.dataCentre && known && known->number == number) {
            m_lease->confirm(start);
        } else if ((!known || known->number < number) && !isPending(m_viewRequest, now)) {
            readView(dataCentre, now);
        }
    }
    return takeActions();
}

auto Participant::viewRead(std::uint64_t request, const ViewReadResult& storedRow, Instant now) -> Actions
{
    if (!m_viewRequest || m_viewRequest->id != request) {
        return {};
    }
    const auto pendingRead = *m_viewRequest;
    m_viewRequest.reset();
    if (!storedRow) {
        return {};
    }
    if (pendingRead.dataCentre == m_self.dataCentre) {
        m_storedRow = *storedRow;
    }
    if (storedRow->view) {
        handleView(storedRow->view, now);
    }
    if (pendingRead.dataCentre == m_self.dataCentre && storedRow->view && storedRow->view->number == m_view->number) {
        m_lease->confirm(m_rules.leaseFromStart ? pendingRead.start : now);
    }
    propose(now);
    return takeActions();
}

//! NOTE A view is adopted here only if its write is confirmed. Other outcomes are resolved by reading the row again.
auto Participant::viewWritten(std::uint64_t request, const WriteOutcome& outcome, Instant now) -> Actions
{
    if (!m_writeRequest || m_writeRequest->id != request) {
        return {};
    }
    m_writeRequest.reset();
    m_storedRow.reset();
    m_nextProposalAt = now + jitter(s_proposalJitter);
    if (outcome.result == WriteResult::Written) {
        const auto previous = m_view;
        m_storedRow = RowState{m_proposedView, outcome.version};
        handleView(m_proposedView, now);
        pushView(m_proposedView, previous);
    }
    return takeActions();
}

auto Participant::leave(Instant now) -> Actions
{
    m_isLeaving = true;
    m_witness.retire();
    m_nextProposalAt = now;
    m_nextRenewalAt = now;
    return tick(now);
}

auto Participant::handleView(ViewPtr view, Instant now) -> void
{
    if (!view) {
        return;
    }
    if (view->dataCentre == m_self.dataCentre) {
        adopt(std::move(view), now);
        return;
    }
    auto& known = m_otherViews[view->dataCentre];
    if (!known || known->number < view->number) {
        known = std::move(view);
    }
}

auto Participant::adopt(ViewPtr view, Instant now) -> void
{
    if (m_view && view->number <= m_view->number) {
        m_invariants.check(Invariant::OneContentPerView, view->number < m_view->number || *view == *m_view);
        return;
    }
    auto inactive = std::map<std::uint64_t, std::set<MemberId>>();
    if (m_view) {
        inactive = m_transition->fencedByView();
        inactive[m_view->number] = m_lease->fencedMembers();
    }
    m_view = std::move(view);
    m_witness.adopt(m_view, now);
    m_lease.emplace(m_rules, m_view);
    m_transition.emplace(m_rules, m_self.id, *m_view, std::move(inactive), now);
    m_lastLeaseAt = now;
    m_nextRenewalAt = now;
    m_nextProposalAt = std::max(m_nextProposalAt, now + jitter(s_proposalJitter));
    m_isNewView = true;
    renew(now);
    readHeads(now);
}

auto Participant::currentRenewalInterval(Instant now) const -> Milliseconds
{
    const auto isRecent = now - m_lastLeaseAt < s_fastRenewalPeriod;
    const auto isUnsettled = !hasLease(now) || !m_transition->isSettled(now);
    return m_isLeaving || (isUnsettled && isRecent) ? m_rules.fastRenewalInterval : m_rules.renewalInterval;
}

auto Participant::renew(Instant now) -> void
{
    if (!m_view) {
        return;
    }
    m_nextRenewalAt = now + currentRenewalInterval(now);
    std::erase_if(m_renewalStarts, [&](const auto& entry) { return now - entry.second > 2 * m_rules.leaseDuration; });
    auto request = RenewRequest{m_self, ++m_lastId, m_view->number, !m_isLeaving, m_lease->suspects(now), nullptr};
    if (std::exchange(m_isNewView, false)) {
        request.newView = m_view;
    }
    if (m_isLeaving) {
        request.fence = {m_self.id};
    } else if (m_lease->isFencedByAny(m_self.id) && !hasLease(now)) {
        //! NOTE A member that is fenced by some witnesses and lacks promises for a lease requests no more promises. Then the
        //! other witnesses fence it too and another member can act for its shards.
        request.wantsPromise = false;
    }
    m_renewalStarts[request.sequence] = now;
    auto recipients = m_transition->witnessesToContact(now);
    if (m_view->contains(m_self.id)) {
        for (const auto& witness : m_lease->witnesses()) {
            if (!containsMember(recipients, witness.id)) {
                recipients.push_back(witness);
            }
        }
    }
    for (const auto& witness : recipients) {
        sendRenewal(witness, request, now);
    }
}

auto Participant::sendRenewal(const Member& witness, const RenewRequest& request, Instant now) -> void
{
    if (witness.id == m_self.id) {
        handleAnswer(m_witness.answer(request, now), now);
        return;
    }
    m_actions.push_back(SendMessage{witness.address, request});
}

auto Participant::handleRequest(const RenewRequest& request, Instant now) -> void
{
    if (request.newView) {
        handleView(request.newView, now);
    }
    auto answer = m_witness.answer(request, now);
    if (m_lease && m_lease->confirmedAt()) {
        answer.confirmedAgo = std::chrono::ceil<Milliseconds>(now - *m_lease->confirmedAt());
    }
    m_actions.push_back(SendMessage{request.from.address, std::move(answer)});
    if (m_view && request.view < m_view->number && m_rules.laterViewEndsPromises) {
        m_actions.push_back(SendMessage{request.from.address, ViewPush{m_view}});
    }
}

auto Participant::handleAnswer(const RenewAnswer& answer, Instant now) -> void
{
    const auto renewal = m_renewalStarts.find(answer.sequence);
    if (renewal == m_renewalStarts.end() || !m_view) {
        return;
    }
    m_lease->recordAnswer(answer, renewal->second, now);
    m_transition->recordAnswer(answer, now);
    if (answer.view >= m_view->number) {
        return;
    }
    const auto recipients = m_transition->witnessesToContact(now);
    for (const auto* members : {&m_lease->witnesses(), &recipients}) {
        for (const auto& witness : *members) {
            if (witness.id == answer.from) {
                m_actions.push_back(SendMessage{witness.address, ViewPush{m_view}});
                return;
            }
        }
    }
}

auto Participant::handleDigest(const ViewDigest& digest) -> void
{
    auto known = m_otherViews;
    if (m_view) {
        known[m_self.dataCentre] = m_view;
    }
    for (const auto& [dataCentre, view] : known) {
        const auto number = digest.numbers.find(dataCentre);
        if (number == digest.numbers.end() || number->second < view->number) {
            m_actions.push_back(SendMessage{digest.from.address, ViewPush{view}});
        }
    }
}

auto Participant::sendDigest() -> void
{
    auto addresses = std::set<framework::Endpoint>(m_seeds.begin(), m_seeds.end());
    auto digest = ViewDigest{m_self, {}};
    for (const auto& dataCentre : dataCentres()) {
        if (const auto known = view(dataCentre)) {
            digest.numbers[dataCentre] = known->number;
            for (const auto& member : known->members) {
                addresses.insert(member.address);
            }
        }
    }
    addresses.erase(m_self.address);
    if (addresses.empty()) {
        return;
    }
    const auto chosen = std::next(addresses.begin(), static_cast<std::ptrdiff_t>(m_random() % addresses.size()));
    m_actions.push_back(SendMessage{*chosen, std::move(digest)});
}

auto Participant::pushView(const ViewPtr& view, const ViewPtr& previous) -> void
{
    auto addresses = std::set<framework::Endpoint>();
    for (const auto& member : view->members) {
        addresses.insert(member.address);
    }
    if (previous) {
        for (const auto& member : previous->members) {
            addresses.insert(member.address);
        }
    }
    addresses.erase(m_self.address);
    for (const auto& address : addresses) {
        m_actions.push_back(SendMessage{address, ViewPush{view}});
    }
}

auto Participant::isPending(const std::optional<StoreRequest>& request, Instant now) const -> bool
{
    return request && now - request->start < m_rules.storeTimeout;
}

auto Participant::readHeads(Instant now) -> void
{
    m_nextHeadsReadAt = now + m_rules.storeReadInterval;
    m_headsRequest = StoreRequest{++m_lastId, now, {}};
    m_actions.push_back(ReadHeads{m_headsRequest->id});
}

auto Participant::readView(const std::string& dataCentre, Instant now) -> void
{
    m_viewRequest = StoreRequest{++m_lastId, now, dataCentre};
    m_actions.push_back(ReadView{m_viewRequest->id, dataCentre});
}

auto Participant::jitter(Milliseconds bound) -> Milliseconds
{
    return Milliseconds(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(bound.count())));
}

auto Participant::takeActions() -> Actions
{
    return std::exchange(m_actions, {});
}

} // namespace laburnummill::coordination
