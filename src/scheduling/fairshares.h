#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>

namespace laburnummill::scheduling {

/// Work that client accounts ask for, in any unit of engine time a second, by the hash of the account.
using AccountDemands = std::map<std::uint32_t, double>;

/// The work that client accounts have asked this host for, averaged over some seconds.
class DemandTracker
{
public:
    /// Records a new program of the account; `work` is what such programs take on average.
    auto add(std::uint32_t account, double work, framework::Instant now) -> void;

    /// Accounts with recent demand.
    auto current(framework::Instant now) -> AccountDemands;

private:
    auto decayTo(framework::Instant now) -> void;

    AccountDemands m_demands; ///< at m_updatedAt
    framework::Instant m_updatedAt{};
};

/// Divides what a fleet can serve between client accounts: each gets the same amount, or less if it asks for less. What an account does not
/// ask for goes to the others. All hosts that know the same demands divide alike.
class FairShares
{
public:
    FairShares() = default;

    /// `servedShare`: share of the sum of all demands that can be served, 0 to 1.
    FairShares(const AccountDemands& demands, double servedShare);

    /// Share of the account's demand that can be served; 1 for an account without known demand.
    auto shareOf(std::uint32_t account) const -> double;

private:
    AccountDemands m_demands;
    double m_most = 0; ///< that an account gets; 0 means no limit
};

} // namespace laburnummill::scheduling
