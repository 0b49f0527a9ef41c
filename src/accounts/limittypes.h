#pragma once

#include "framework/global/time.h"

#include <string>
#include <vector>

namespace laburnummill::accounts {

/// Rate and burst of a client account over the whole fleet.
struct AccountLimit
{
    std::string account;
    double ratePerSecond = 1;
    double burst = 1;

    auto operator==(const AccountLimit&) const -> bool = default;
};

/// Result of a request for a token.
enum class TakeKind
{
    Granted,
    Refused,
    ForwardToHome, ///< must be decided by the account's home data centre
};

struct TakeOutcome
{
    TakeKind kind = TakeKind::Refused;
    framework::Milliseconds retryAfter{0}; ///< if refused
    std::string home;                      ///< data centre to forward the request to

    auto operator==(const TakeOutcome&) const -> bool = default;
};

/// Durations for the grants of shares between data centres.
struct GrantTerms
{
    framework::Milliseconds term{2'000};
    framework::Milliseconds renewal{500};
    framework::Milliseconds drift{100}; ///< allowance for clock drift: a grant expires this much later at the grantor than at the holder
};

/// The data centres that have shares of the limits, and those of them that may be an account's home.
struct DataCentreSet
{
    std::vector<std::string> all;
    std::vector<std::string> active; ///< not drained

    auto operator<=>(const DataCentreSet&) const = default;
};

/// A grantor's reply. The grant covers the grantor's shares of all accounts whose home is the holder. The home is determined
/// by the grantor's list of active data centres.
struct GrantReply
{
    bool granted = false;
    std::vector<std::string> active;
    std::vector<std::string> pending; ///< accounts that are not granted: an earlier grant to another holder may still be valid

    auto operator==(const GrantReply&) const -> bool = default;
};

} // namespace laburnummill::accounts
