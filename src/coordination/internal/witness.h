#pragma once

#include "coordination/internal/invariants.h"
#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// A member's part as witness: promises to the members that renew with it, and fences against the silent.
class Witness
{
public:
    Witness(MemberId self, const ProtocolRules& rules, Invariants& invariants);

    /// Acknowledges `view`: no promise under an earlier one from now on.
    auto adopt(ViewPtr view, framework::Instant now) -> void;

    /// After a pause of this process the silence of members says nothing.
    auto resume(framework::Instant now) -> void;

    /// Promises nothing any more: the member leaves.
    auto retire() -> void { m_isRetired = true; }

    auto answer(const RenewRequest& request, framework::Instant now) -> RenewAnswer;

private:
    struct MemberRecord
    {
        framework::Instant lastRenewalAt; ///< for a promise, or the adoption of the view
        framework::Instant promisedUntil;
        std::uint64_t view = 0; ///< highest under which it renewed
    };

    auto mayPromise(const RenewRequest& request) const -> bool;
    auto tryFence(const MemberId& member, framework::Instant now) -> void;
    auto isSuspect(const MemberId& member, framework::Instant now) const -> bool;
    auto fillAnswer(RenewAnswer& answer, framework::Instant now) const -> void;

    MemberId m_self;
    const ProtocolRules& m_rules;
    Invariants& m_invariants;
    ViewPtr m_view;
    std::map<MemberId, MemberRecord> m_records;
    std::set<Fence> m_fences;
    bool m_isRetired = false;
};

} // namespace laburnummill::coordination
