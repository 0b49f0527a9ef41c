#include "accounts/accounterrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::accounts {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<AccountError>>({
    {AccountError::KeyMissing, "key_missing", "the request has no API key", FailureKind::Unauthenticated},
    {AccountError::KeyMalformed, "key_malformed", "the API key exceeds the maximum length", FailureKind::Unauthenticated},
    {AccountError::KeyUnknown, "key_unknown", "the API key is unknown", FailureKind::Unauthenticated},
    {AccountError::KeyWithdrawn, "key_withdrawn", "the API key was withdrawn", FailureKind::Unauthenticated},
    {AccountError::KeysUnknown, "keys_unavailable", "this host has no current key list to check API keys", FailureKind::Unavailable},
    {AccountError::RateExceeded, "rate_exceeded", "the client account is above its rate and burst", FailureKind::RateLimited},
    {AccountError::LimitsUnavailable, "limits_unavailable", "the limit of the client account cannot be checked at present",
     FailureKind::Unavailable},
    {AccountError::AccountUnknown, "account_unknown", "the client account does not exist", FailureKind::NotFound},
    {AccountError::KeyExists, "key_exists", "the API key was already issued to another client account or withdrawn", FailureKind::Conflict},
});

} // namespace

auto make_error_code(AccountError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<AccountError>("accounts", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::accounts
