#pragma once

#include "accounts/internal/accountplacement.h"
#include "accounts/limittypes.h"
#include "accounts/tokenbucket.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::accounts {

/// State of a group that is handed over to its next owner in the same data centre.
struct LimitGroupState
{
    std::map<std::string, double> tokens;                      ///< tokens of the buckets in use, by account
    std::map<std::string, framework::Microseconds> grantedFor; ///< remaining time of grants to other data centres, by holder
    std::map<std::string, framework::Microseconds> heldFor;    ///< remaining time of grants from other data centres, by grantor

    auto operator==(const LimitGroupState&) const -> bool = default;
};

/// The limits of a group of accounts in one data centre.
///
/// Each data centre owns a share of every account's rate and burst. While data centres are connected, all of them grant
/// their shares to the account's home, whose single bucket then enforces the limit exactly. A grant is valid for a fixed
/// term. A data centre that cannot reach the home uses its own share once the grant has expired on its clock; the home has
/// stopped using that share by then. Thus the shares in use never add up to more than the whole limit.
class LimitGroup
{
public:
    /// A new owner has no record of earlier grants. It does not use its own shares until all earlier grants must have expired.
    LimitGroup(std::string dataCentre, GrantTerms terms, framework::Instant startedAt);

    /// Applies the limits and data centres of the current configuration.
    auto configure(const std::vector<AccountLimit>& limits, const DataCentreSet& dataCentres, framework::Instant now) -> void;

    /// Takes a token for a call in this data centre.
    auto take(const std::string& account, framework::Instant now) -> TakeOutcome;

    /// Takes a token for a call in another data centre; never returns ForwardToHome.
    auto takeAsHome(const std::string& account, framework::Instant now) -> TakeOutcome;

    /// Records a refusal by the home: take() refuses, without ForwardToHome, until `retryAfter` has passed.
    auto recordRefusal(const std::string& account, framework::Milliseconds retryAfter, framework::Instant now) -> void;

    /// Returns the refusal for a call whose account's home is unreachable while this data centre's share is still granted to the
    /// home.
    auto refuseHomeUnreachable(const std::string& account, framework::Instant now) const -> TakeOutcome;

    auto giveBack(const std::string& account, framework::Instant now) -> void;

    /// Returns the data centres from which a grant is to be requested now.
    auto grantorsToRenew(framework::Instant now) -> std::vector<std::string>;

    /// As grantor: grants the shares of this data centre to `holder`.
    auto grantShare(const std::string& holder, framework::Instant now) -> GrantReply;

    /// As holder: applies a grantor's reply to a request sent at `sentAt`.
    auto acceptGrant(const std::string& grantor, const GrantReply& reply, framework::Instant sentAt, framework::Instant now) -> void;

    /// Returns the state for the next owner. The group grants nothing from then on.
    auto handOver(framework::Instant now) -> LimitGroupState;

    /// Takes over the state of the previous owner.
    auto adopt(const LimitGroupState& state, framework::Instant now) -> void;

    auto accounts() const -> std::size_t { return m_accounts.size(); }
    auto heldGrantCount(framework::Instant now) const -> std::size_t;

private:
    struct HeldGrant
    {
        framework::Instant until;
        std::shared_ptr<const AccountPlacement> placement; ///< by the grantor's list of active data centres
        std::vector<std::string> pending;

        auto covers(const std::string& account, const std::string& holder) const -> bool;
    };

    struct Account
    {
        AccountLimit limit;
        std::optional<TokenBucket> bucket;
        framework::Instant ownShareUsableFrom{}; ///< until then the share is granted under an earlier list of data centres
        framework::Instant refusedUntil{};       ///< the home refuses requests until then
        framework::Instant advancedTo{};         ///< time up to which the bucket was filled
    };

    auto isHome(const std::string& account) const -> bool;
    auto usableShare(const Account& account, framework::Instant now) const -> double;
    auto advance(Account& account, framework::Instant now) -> void;
    auto setShare(Account& account, double share, framework::Instant now) -> void;
    auto takeFromBucket(Account& account, framework::Instant now) -> TakeOutcome;
    auto grantedUntil(const std::string& holder) const -> framework::Instant;
    auto shareChangeTimes(const Account& account, framework::Instant from, framework::Instant to) const -> std::set<framework::Instant>;
    auto placementOf(const DataCentreSet& dataCentres) -> std::shared_ptr<const AccountPlacement>;

    std::string m_dataCentre;
    GrantTerms m_terms;
    framework::Instant m_startedAt;
    std::shared_ptr<const AccountPlacement> m_placement;
    std::map<std::string, Account> m_accounts;
    std::map<std::string, framework::Instant> m_grantedUntil;
    std::map<std::string, HeldGrant> m_heldGrants;
    std::map<std::string, framework::Instant> m_requestedAt;
    std::map<DataCentreSet, std::shared_ptr<const AccountPlacement>> m_placements;
    bool m_handedOver = false;
};

} // namespace laburnummill::accounts
