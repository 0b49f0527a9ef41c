#include "peers/peererrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::peers {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<PeerError>>({
    {PeerError::Unreachable, "peer_unreachable", "the host cannot be reached", FailureKind::Unavailable},
    {PeerError::TimedOut, "peer_timed_out", "the host did not answer in time", FailureKind::Timeout},
    {PeerError::Malformed, "peer_malformed", "the host's answer is malformed", FailureKind::Internal},
});

} // namespace

auto make_error_code(PeerError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<PeerError>("peers", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::peers
