#include "coordination/internal/witness.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Instant;

namespace {

auto containsId(const std::vector<MemberId>& members, const MemberId& member) -> bool
{
    return std::ranges::find(members, member) != members.end();
}

} // namespace

Witness::Witness(MemberId self, const ProtocolRules& rules, Invariants& invariants)
    : m_self(std::move(self))
    , m_rules(rules)
    , m_invariants(invariants)
{}

auto Witness::adopt(ViewPtr view, Instant now) -> void
{
    m_view = std::move(view);
    for (const auto& member : m_view->members) {
        auto& record = m_records[member.id];
        record.lastRenewalAt = std::max(record.lastRenewalAt, now);
    }
    const auto oldest = m_view->earlier.empty() ? m_view->number : m_view->earlier.front().number;
    std::erase_if(m_fences, [oldest](const auto& fence) { return fence.view < oldest; });
    std::erase_if(m_records, [&](const auto& entry) {
        return entry.second.promisedUntil <= now && entry.second.view < oldest && !m_view->contains(entry.first);
    });
}

auto Witness::resume(Instant now) -> void
{
    for (auto& [member, record] : m_records) {
        record.lastRenewalAt = now;
    }
}

auto Witness::mayPromise(const RenewRequest& request) const -> bool
{
    if (!m_view || !request.wantsPromise || m_isRetired) {
        return false;
    }
    if (request.view != m_view->number) {
        return request.view < m_view->number && !m_rules.laterViewEndsPromises;
    }
    const auto isFenced = m_fences.contains({m_view->number, request.from.id});
    return m_view->contains(request.from.id) && (!isFenced || !m_rules.refuseFenced);
}

auto Witness::isSuspect(const MemberId& member, Instant now) const -> bool
{
    const auto record = m_records.find(member);
    return member != m_self && (record == m_records.end() || now - record->second.lastRenewalAt >= m_rules.suspicionTimeout);
}

auto Witness::tryFence(const MemberId& member, Instant now) -> void
{
    if (!isSuspect(member, now) || !m_view->contains(member)) {
        return;
    }
    const auto promiseEnd = m_records[member].promisedUntil;
    if (m_rules.awaitPromiseEnd && promiseEnd > now) {
        return;
    }
    if (m_invariants.check(Invariant::FencedWithoutPromise, promiseEnd <= now) || !m_rules.awaitPromiseEnd) {
        m_fences.insert({m_view->number, member});
    }
}

auto Witness::answer(const RenewRequest& request, Instant now) -> RenewAnswer
{
    auto answer = RenewAnswer{m_self, request.sequence, m_view ? m_view->number : 0, false, {}, {}, {}, std::nullopt};
    auto& record = m_records[request.from.id];
    record.view = std::max(record.view, request.view);
    if (request.wantsPromise) {
        record.lastRenewalAt = now;
    }
    if (!m_view) {
        return answer;
    }
    if (mayPromise(request)) {
        const auto promiseDuration = m_rules.promiseOutlastsLease ? m_rules.withDrift(m_rules.leaseDuration) : m_rules.leaseDuration / 4;
        record.promisedUntil = now + promiseDuration;
        answer.promised = true;
    }
    if (request.view == m_view->number) {
        if (containsId(request.fence, request.from.id)) {
            record.promisedUntil = now;
            m_fences.insert({m_view->number, request.from.id});
        }
        for (const auto& member : request.fence) {
            tryFence(member, now);
        }
    }
    fillAnswer(answer, now);
    return answer;
}

auto Witness::fillAnswer(RenewAnswer& answer, Instant now) const -> void
{
    answer.fences.assign(m_fences.begin(), m_fences.end());
    for (const auto& member : m_view->members) {
        if (isSuspect(member.id, now)) {
            answer.suspects.push_back(member.id);
        }
    }
    if (m_view->earlier.empty()) {
        return;
    }
    for (const auto& [member, record] : m_records) {
        if (record.view >= m_view->number) {
            answer.released.push_back(member);
        }
    }
}

} // namespace laburnummill::coordination
