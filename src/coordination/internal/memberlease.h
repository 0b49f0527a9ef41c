#pragma once

#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// One member's lease under one view: what its witnesses promised and what the store showed.
class MemberLease
{
public:
    MemberLease(const ProtocolRules& rules, ViewPtr view);

    /// A witness's answer to a request sent at `start`.
    auto recordAnswer(const RenewAnswer& answer, framework::Instant start, framework::Instant now) -> void;

    /// The store, asked at `start`, showed the view.
    auto confirm(framework::Instant start) -> void;

    /// The end of the lease, exclusive.
    auto validUntil() const -> framework::Instant;

    /// True where so many witnesses have fenced `member` that it never acts under this view again.
    auto isFenced(const MemberId& member) const -> bool;
    auto fencedMembers() const -> std::set<MemberId>;

    /// True where any witness is known to have fenced `member`.
    auto isFencedByAny(const MemberId& member) const -> bool;

    /// Members that a promise quorum of witnesses has not heard of.
    auto suspects(framework::Instant now) const -> std::vector<MemberId>;

    /// Witnesses that have not answered since `since`.
    auto unreachableWitnesses(framework::Instant since) const -> std::vector<MemberId>;

    auto witnesses() const -> const std::vector<Member>& { return m_witnesses; }
    auto confirmedAt() const -> std::optional<framework::Instant> { return m_confirmedAt; }

private:
    struct WitnessState
    {
        std::optional<framework::Instant> promisedFrom; ///< start of the latest request that was promised
        std::optional<framework::Instant> answeredAt;
        std::set<MemberId> fenced;
        std::set<MemberId> suspects;
    };

    auto fenceQuorum() const -> std::size_t { return m_quorums.promise - (m_rules.fullFenceQuorum ? 0 : 1); }
    auto quorumPromiseStart(std::size_t quorum) const -> std::optional<framework::Instant>;

    const ProtocolRules& m_rules;
    ViewPtr m_view;
    std::vector<Member> m_witnesses;
    Quorums m_quorums;
    std::map<MemberId, WitnessState> m_witnessStates;
    std::optional<framework::Instant> m_confirmedAt;
};

} // namespace laburnummill::coordination
