#pragma once

#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// A member's lease under one view, derived from the promises of its witnesses and confirmations by the store.
class MemberLease
{
public:
    MemberLease(const ProtocolRules& rules, ViewPtr view);

    /// Records a witness's answer to a request sent at `start`.
    auto recordAnswer(const RenewAnswer& answer, framework::Instant start, framework::Instant now) -> void;

    /// Records that a store read started at `start` returned this view as the current one.
    auto confirm(framework::Instant start) -> void;

    /// The end of the lease, exclusive; Instant::min() if there is no lease.
    auto validUntil() const -> framework::Instant;

    /// True if a quorum of witnesses has fenced `member`, so it can never act under this view again.
    auto isFenced(const MemberId& member) const -> bool;
    auto fencedMembers() const -> std::set<MemberId>;

    /// True if at least one witness is known to have fenced `member`.
    auto isFencedByAny(const MemberId& member) const -> bool;

    /// Members that a promise quorum of witnesses suspects according to answers no older than the suspicion timeout.
    auto suspects(framework::Instant now) const -> std::vector<MemberId>;

    /// Witnesses without an answer since `since`.
    auto unreachableWitnesses(framework::Instant since) const -> std::vector<MemberId>;

    auto witnesses() const -> const std::vector<Member>& { return m_witnesses; }
    auto confirmedAt() const -> std::optional<framework::Instant> { return m_confirmedAt; }

private:
    struct WitnessState
    {
        std::optional<framework::Instant> promisedFrom; ///< start of the latest renewal that got a promise
        std::optional<framework::Instant> answeredAt;
        std::set<MemberId> fenced;
        std::set<MemberId> suspects;
    };

    auto fenceQuorum() const -> std::size_t { return m_quorums.promise - (m_rules.fullFenceQuorum ? 0 : 1); }

    /// The latest time such that `quorum` witnesses promised renewals started at or after it; nullopt if fewer made a promise.
    auto quorumPromiseStart(std::size_t quorum) const -> std::optional<framework::Instant>;

    const ProtocolRules& m_rules;
    ViewPtr m_view;
    std::vector<Member> m_witnesses;
    Quorums m_quorums;
    std::map<MemberId, WitnessState> m_witnessStates;
    std::optional<framework::Instant> m_confirmedAt;
};

} // namespace laburnummill::coordination
