#pragma once

#include "framework/global/time.h"

namespace laburnummill::coordination {

/// Parameters of the view and lease protocol. The flags are false only in tests, which disable single safety mechanisms.
/// E and A are the quorum sizes of struct Quorums.
struct ProtocolRules
{
    framework::Milliseconds leaseDuration{3'000};      ///< counted from the start of a renewal
    framework::Milliseconds suspicionTimeout{2'500};   ///< time without a renewal; fencing also waits until the promise ends
    framework::Milliseconds renewalInterval{750};      ///< interval in normal operation
    framework::Milliseconds fastRenewalInterval{50};   ///< interval while leaving, or soon after the lease was lost or the view changed
    framework::Milliseconds storeReadInterval{1'000};  ///< interval between reads of all view numbers
    framework::Milliseconds storeTimeout{2'500};       ///< after this a store request counts as lost
    framework::Milliseconds quorumLossTimeout{10'000}; ///< time without a lease until unreachable witnesses are removed
    framework::Milliseconds maxDurationWithoutStore{12 * 60 * 60'000}; ///< longest time since the last confirmation by the store
    int driftPercent = 10;                                             ///< largest difference between two clocks over any duration

    bool refuseFenced = true;              ///< a fenced member gets no promise
    bool awaitPromiseEnd = true;           ///< a member is fenced only after its promise has ended
    bool promiseOutlastsLease = true;      ///< promises last for the lease duration plus drift
    bool fullPromiseQuorum = true;         ///< leases without the store need E promises
    bool fullAcknowledgeQuorum = true;     ///< new views need A acknowledgements, leases with the store A promises
    bool fullFenceQuorum = true;           ///< a member is fenced by E witnesses
    bool awaitEarlierLeases = true;        ///< new owners wait until leases of earlier views expire or are released
    bool laterViewEndsPromises = true;     ///< a witness makes no promises under views older than its own
    bool leaseFromStart = true;            ///< a lease starts when the request is sent, not when it is answered
    bool limitDurationWithoutStore = true; ///< applies `maxDurationWithoutStore`

    /// The longest time that this host's clock can measure while `duration` passes on another clock.
    auto withDrift(framework::Milliseconds duration) const -> framework::Milliseconds { return duration + duration * driftPercent / 100; }
};

} // namespace laburnummill::coordination
