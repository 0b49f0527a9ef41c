#pragma once

#include "framework/global/time.h"

namespace laburnummill::coordination {

/// Durations and mechanisms of views and leases. Tests switch single mechanisms off; nothing else does.
struct ProtocolRules
{
    framework::Milliseconds leaseDuration{3'000};                      ///< from the start of a renewal
    framework::Milliseconds suspicionTimeout{2'500};                   ///< without a renewal; a fence also waits for the promise to run out
    framework::Milliseconds renewalInterval{750};                      ///< between renewals
    framework::Milliseconds fastRenewalInterval{50};                   ///< between renewals while earlier views are not settled
    framework::Milliseconds storeReadInterval{1'000};                  ///< between reads of the heads
    framework::Milliseconds storeTimeout{2'500};                       ///< until a request to the store counts as lost
    framework::Milliseconds quorumLossTimeout{10'000};                 ///< without a lease, until silent witnesses are removed
    framework::Milliseconds maxDurationWithoutStore{12 * 60 * 60'000}; ///< leases without the store never outlast it
    int driftPercent = 10;                                             ///< by which two clocks may differ over any duration

    bool refuseFenced = true;              ///< a fenced member gets no promise
    bool awaitPromiseEnd = true;           ///< a member is fenced only after its promise has run out
    bool promiseOutlastsLease = true;      ///< promises last as long as the lease and drift
    bool fullPromiseQuorum = true;         ///< E promises without the store
    bool fullAcknowledgeQuorum = true;     ///< A acknowledgements of a new view, A promises with the store
    bool fullFenceQuorum = true;           ///< E witnesses fence a member
    bool awaitEarlierLeases = true;        ///< leases of earlier views run out or are released first
    bool laterViewEndsPromises = true;     ///< a witness that knows a later view promises nothing under the earlier
    bool leaseFromStart = true;            ///< the lease counts from the request, not from the answer
    bool limitDurationWithoutStore = true; ///< renewals without the store end at the horizon

    /// `duration` on another clock lasts no longer than this on ours.
    auto withDrift(framework::Milliseconds duration) const -> framework::Milliseconds { return duration + duration * driftPercent / 100; }
};

} // namespace laburnummill::coordination
