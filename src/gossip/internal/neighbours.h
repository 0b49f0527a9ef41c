#pragma once

#include "gossip/gossiptypes.h"

namespace laburnummill::gossip {

/// The peers of the own data centre that `self` talks to: few and always the same while the members are, so that the
/// number of connections stays bounded. Random regular graphs of this degree are connected with near certainty.
auto localNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>;

/// The peers of other data centres that `self` talks to, some in each.
auto remoteNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>;

} // namespace laburnummill::gossip
