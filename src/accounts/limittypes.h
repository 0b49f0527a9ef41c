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

/// What came of asking for a token.
enum class TakeKind
{
    Granted,
    Refused,
    ForwardToHome, ///< the account's home data centre decides
};

struct TakeOutcome
{
    TakeKind kind = TakeKind::Refused;
    framework::Milliseconds retryAfter{0}; ///< of a refusal
    std::string home;                      ///< the data centre to ask

    auto operator==(const TakeOutcome&) const -> bool = default;
};

/// How long data centres lend each other their shares.
struct GrantTerms
{
    framework::Milliseconds term{2'000};
    framework::Milliseconds renewal{500};
    framework::Milliseconds drift{100}; ///< the lender waits this much longer than the borrower
};

/// The data centres that hold shares, and those of them that may be an account's home.
struct DataCentreSet
{
    std::vector<std::string> all;
    std::vector<std::string> active; ///< not drained

    auto operator<=>(const DataCentreSet&) const = default;
};

/// A lender's answer: its share of the accounts whose home is the borrower by the lender's list.
struct GrantAnswer
{
    bool granted = false;
    std::vector<std::string> active;
    std::vector<std::string> pending; ///< accounts not lent: their earlier loan may still run

    auto operator==(const GrantAnswer&) const -> bool = default;
};

} // namespace laburnummill::accounts
