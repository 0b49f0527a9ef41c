#pragma once

#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// Tracks whether the earlier views of a view are settled. An earlier view is settled once no other member can act under it:
/// leases under it have expired, or its members were fenced, replaced or released.
class ViewTransition
{
public:
    /// `fenced` holds, by the number of the earlier view, the members known to be fenced under it.
    ViewTransition(const ProtocolRules& rules, MemberId self, const View& view, std::map<std::uint64_t, std::set<MemberId>> fenced,
                   framework::Instant now);

    /// Records an answer of a witness. For each earlier view of which the sender is a witness, the answer counts as an
    /// acknowledgement if the sender has adopted a later view.
    auto recordAnswer(const RenewAnswer& answer, framework::Instant now) -> void;

    /// True if no other member can act for the shard under any earlier view.
    auto isSettledFor(const ShardKey& shard, framework::Instant now) const -> bool;

    /// True if no other member can act under the earlier view; false if the view is unknown.
    auto isSettled(std::uint64_t earlierView, framework::Instant now) const -> bool;

    /// True if all earlier views are settled.
    auto isSettled(framework::Instant now) const -> bool;

    /// Witnesses of all earlier views that are neither settled nor acknowledged by a quorum; their answers are needed.
    auto witnessesToContact(framework::Instant now) const -> std::vector<Member>;

    /// Members that can no longer act, by the number of the earlier view.
    auto fencedByView() const -> std::map<std::uint64_t, std::set<MemberId>>;

private:
    struct Progress
    {
        EarlierView view;
        std::vector<Member> witnesses;
        std::size_t quorum = 0;
        std::set<MemberId> acknowledged;
        std::set<MemberId> departed;                      ///< witnesses that were replaced or left, so they make no promises
        std::set<MemberId> mayBeFenced;                   ///< fenced by at least one witness that acknowledged a later view
        std::set<MemberId> inactive;                      ///< members that cannot act under this view any more
        std::optional<framework::Instant> acknowledgedAt; ///< when the quorum was reached
    };

    auto checkQuorum(Progress& progress, framework::Instant now) const -> void;
    auto hasExpired(const Progress& progress, framework::Instant now) const -> bool;
    auto isSettled(const Progress& progress, framework::Instant now) const -> bool;
    auto isSettledFor(const Progress& progress, const ShardKey& shard, framework::Instant now) const -> bool;

    const ProtocolRules& m_rules;
    MemberId m_self;
    std::uint64_t m_view = 0;
    framework::Instant m_adoptedAt;
    std::vector<Progress> m_progress;
};

} // namespace laburnummill::coordination
