#pragma once

#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// Settles the earlier views of one view: nobody acts for a shard under an earlier one any more.
class ViewTransition
{
public:
    /// `fenced`: by earlier view, members known to be fenced under it.
    ViewTransition(const ProtocolRules& rules, MemberId self, const View& view, std::map<std::uint64_t, std::set<MemberId>> fenced,
                   framework::Instant now);

    /// What a witness, of this or an earlier view, answered under this view or a later one.
    auto recordAnswer(const RenewAnswer& answer, framework::Instant now) -> void;

    /// True where nobody else may act for the shard under an earlier view.
    auto isSettledFor(const ShardKey& shard, framework::Instant now) const -> bool;

    /// True where nobody may act under the earlier view.
    auto isSettled(std::uint64_t earlierView, framework::Instant now) const -> bool;
    auto isSettled(framework::Instant now) const -> bool;

    /// Whom to ask: witnesses of earlier views that are not settled.
    auto witnessesToContact(framework::Instant now) const -> std::vector<Member>;

    auto fencedByView() const -> std::map<std::uint64_t, std::set<MemberId>>;

private:
    struct Progress
    {
        EarlierView view;
        std::vector<Member> witnesses;
        std::size_t quorum = 0;
        std::set<MemberId> acknowledged;
        std::set<MemberId> departed;    ///< witnesses that ended or left: they promise nothing either
        std::set<MemberId> mayBeFenced; ///< by a witness that acknowledged
        std::set<MemberId> inactive;    ///< never act under it again
        std::optional<framework::Instant> acknowledgedAt;
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
