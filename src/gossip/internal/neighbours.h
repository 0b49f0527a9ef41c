#pragma once

#include "gossip/gossiptypes.h"

namespace laburnummill::gossip {

/// Selects the peers in the own data centre that `self` sends digests and announcements to. The selection is small and changes
/// only with the members, so that the number of connections is bounded. Random regular graphs of this degree are almost
/// certainly connected.
auto localNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>;

/// Selects the peers in other data centres that `self` sends digests and announcements to, a few in each.
auto remoteNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>;

} // namespace laburnummill::gossip
