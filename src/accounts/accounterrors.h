#pragma once

#include <system_error>

namespace laburnummill::accounts {

/// Errors of API key checks and rate limits.
enum class AccountError
{
    KeyMissing = 1,
    KeyMalformed,
    KeyUnknown,
    KeyWithdrawn,
    KeysUnknown, ///< this host has no key list yet, or its list is older than the trust period
    RateExceeded,
    LimitsUnavailable, ///< no host can check the account's limit at present
    AccountUnknown,
    KeyExists,
};

auto make_error_code(AccountError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::accounts

template<>
struct std::is_error_code_enum<laburnummill::accounts::AccountError> : std::true_type
{};
