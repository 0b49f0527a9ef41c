#pragma once

#include "accounts/accounterrors.h"
#include "framework/global/async.h"
#include "framework/global/time.h"

#include <string>
#include <string_view>
#include <variant>

namespace laburnummill::accounts {

/// Reason why no token was granted, and the time after which to retry.
struct RateRefusal
{
    std::error_code error;
    framework::Milliseconds retryAfter{0};

    auto operator==(const RateRefusal&) const -> bool = default;
};

/// A token that was taken, and the data centre that granted it.
struct Token
{
    std::string account;
    std::string grantedBy; ///< name of the data centre

    auto operator==(const Token&) const -> bool = default;
};

using TakeResult = std::variant<Token, RateRefusal>;

/// Rate and burst limits of client accounts over the whole fleet.
class ILimits
{
public:
    static constexpr std::string_view s_serviceName = "accounts.limits";

    virtual ~ILimits() = default;

    /// Takes one token of the account. Returns a refusal if none is available.
    virtual auto take(std::string account) -> framework::Async<TakeResult> = 0;

    /// Whether this host can determine the tokens left for accounts; false for a time after a start.
    virtual auto isReady() const -> bool = 0;

    /// Gives a token back. Only for a request that certainly did not run.
    virtual auto giveBack(const Token& token) -> void = 0;
};

} // namespace laburnummill::accounts
