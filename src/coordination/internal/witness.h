#pragma once

#include "coordination/internal/invariants.h"
#include "coordination/internal/leasemessages.h"
#include "coordination/internal/protocolrules.h"

namespace laburnummill::coordination {

/// The witness role of a member: makes promises to members that renew their leases with it and fences members that do not.
class Witness
{
public:
    Witness(MemberId self, const ProtocolRules& rules, Invariants& invariants);

    /// Acknowledges `view`. The witness makes no promises under earlier views from now on.
    auto adopt(ViewPtr view, framework::Instant now) -> void;

    /// Restarts the suspicion timeouts of all members after a pause of this process, during which renewals could not be received.
    auto resume(framework::Instant now) -> void;

    /// Stops all promises because this member leaves.
    auto retire() -> void { m_isRetired = true; }

    auto answer(const RenewRequest& request, framework::Instant now) -> RenewAnswer;

private:
    struct MemberRecord
    {
        framework::Instant lastRenewalAt; ///< last request for a promise, adoption of the view, or resumption
        framework::Instant promisedUntil;
        std::uint64_t view = 0; ///< highest view under which the member renewed
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
