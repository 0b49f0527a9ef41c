#pragma once

#include "gossip/gossiptypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::gossip {

/// Encodes the message as protobuf (gossip.proto).
auto encode(const GossipMessage& message) -> std::string;

/// Returns nullopt if `payload` is not a valid message or has no sender.
auto decode(std::string_view payload) -> std::optional<GossipMessage>;

} // namespace laburnummill::gossip
