#include "framework/http/httperrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::framework {

namespace {

constexpr auto s_rows = std::to_array<ErrorRow<HttpError>>({
    {HttpError::ConnectFailed, "connect_failed", "the connection was not made", FailureKind::Unavailable},
    {HttpError::ConnectionLost, "connection_lost", "the connection was lost", FailureKind::Unavailable},
    {HttpError::TimedOut, "timed_out", "the other side did not answer in time", FailureKind::Timeout},
    {HttpError::Truncated, "truncated", "the answer broke off", FailureKind::Unavailable},
    {HttpError::BodyTooLarge, "body_too_large", "the body exceeds its limit", FailureKind::TooLarge},
    {HttpError::Malformed, "http_malformed", "the message is not valid HTTP", FailureKind::BadRequest},
    {HttpError::CallerGone, "caller_gone", "the caller closed the connection", FailureKind::Unavailable},
    {HttpError::BindFailed, "bind_failed", "the address cannot be listened on", FailureKind::Internal},
    {HttpError::BadCertificate, "bad_certificate", "certificate or private key cannot be used", FailureKind::Internal},
});

} // namespace

auto make_error_code(HttpError error) -> std::error_code
{
    static const auto category = EnumCategory<HttpError>("http", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::framework
