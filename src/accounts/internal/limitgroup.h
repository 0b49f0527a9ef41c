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

/// What a group hands over to its next owner in the same data centre.
struct LimitGroupState
{
    std::map<std::string, double> tokens;                      ///< of buckets in use, by account
    std::map<std::string, framework::Microseconds> grantedFor; ///< remaining, by borrower
    std::map<std::string, framework::Microseconds> heldFor;    ///< remaining, by lender

    auto operator==(const LimitGroupState&) const -> bool = default;
};

/// The limits of a group of accounts in one data centre.
///
/// Each data centre owns a share of every account's rate and burst. While data centres hear each other, all of them
/// lend their shares to the account's home, whose one bucket then counts exactly. A loan runs for a term; a data
/// centre that no longer hears the home uses its own share once the loan has run out on its clock, and the home has
/// stopped using it by then. So the shares in use never add up to more than the whole.
class LimitGroup
{
public:
    /// A new owner knows nothing of loans made before: it waits until they must have run out.
    LimitGroup(std::string dataCentre, GrantTerms terms, framework::Instant startedAt);

    /// Takes over limits and the data centres in force.
    auto configure(const std::vector<AccountLimit>& limits, const DataCentreSet& dataCentres, framework::Instant now) -> void;

    /// Asks for a token on behalf of a call in this data centre.
    auto take(const std::string& account, framework::Instant now) -> TakeOutcome;

    /// Asks for a token on behalf of another data centre; never yields ForwardToHome.
    auto takeAsHome(const std::string& account, framework::Instant now) -> TakeOutcome;

    /// Remembers the home's refusal: until then it is not asked again.
    auto recordRefusal(const std::string& account, framework::Milliseconds retryAfter, framework::Instant now) -> void;

    /// What to tell a caller whose account's home cannot be reached while the share is still lent.
    auto refuseHomeUnreachable(const std::string& account, framework::Instant now) const -> TakeOutcome;

    auto giveBack(const std::string& account, framework::Instant now) -> void;

    /// Data centres to ask for a loan now.
    auto grantorsToRenew(framework::Instant now) -> std::vector<std::string>;

    /// As a lender: lends to `holder`.
    auto grantShare(const std::string& holder, framework::Instant now) -> GrantAnswer;

    /// As a borrower: a lender's answer to a request sent at `sentAt`.
    auto acceptGrant(const std::string& grantor, const GrantAnswer& grantAnswer, framework::Instant sentAt, framework::Instant now) -> void;

    /// Hands everything over; the group grants nothing more.
    auto handOver(framework::Instant now) -> LimitGroupState;
    auto adopt(const LimitGroupState& state, framework::Instant now) -> void;

    auto accounts() const -> std::size_t { return m_accounts.size(); }
    auto heldGrantCount(framework::Instant now) const -> std::size_t;

private:
    struct HeldGrant
    {
        framework::Instant until;
        std::shared_ptr<const AccountPlacement> placement; ///< the lender's
        std::vector<std::string> pending;

        auto covers(const std::string& account, const std::string& holder) const -> bool;
    };

    struct Account
    {
        AccountLimit limit;
        std::optional<TokenBucket> bucket;
        framework::Instant ownShareUsableFrom{}; ///< lent under an earlier list of data centres until then
        framework::Instant refusedUntil{};       ///< by the home
        framework::Instant advancedTo{};         ///< the bucket's tokens are counted up to here
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
