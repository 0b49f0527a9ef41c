#include "framework/rpc/rpcerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::framework {

namespace {

constexpr auto s_rows = std::to_array<ErrorRow<RpcError>>({
    {RpcError::PeerUnreachable, "peer_unreachable", "the peer cannot be reached", FailureKind::Unavailable},
    {RpcError::LinkLost, "link_lost", "the link to the peer was lost", FailureKind::Unavailable},
    {RpcError::TimedOut, "peer_timed_out", "the peer did not answer in time", FailureKind::Timeout},
    {RpcError::UnknownTopic, "topic_unknown", "the peer does not know the topic", FailureKind::Internal},
    {RpcError::Malformed, "message_malformed", "a peer's message cannot be read", FailureKind::Internal},
    {RpcError::Overloaded, "link_overloaded", "too much waits to be sent to the peer", FailureKind::Unavailable},
    {RpcError::Cancelled, "exchange_cancelled", "the exchange was cancelled", FailureKind::Unavailable},
    {RpcError::Refused, "peer_refused", "the peer refused the request", FailureKind::Conflict},
    {RpcError::BindFailed, "rpc_bind_failed", "the peers' address cannot be listened on", FailureKind::Internal},
});

} // namespace

auto make_error_code(RpcError error) -> std::error_code
{
    static const auto category = EnumCategory<RpcError>("rpc", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::framework
