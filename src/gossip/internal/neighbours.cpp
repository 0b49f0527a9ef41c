#include "gossip/internal/neighbours.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::gossip {

namespace {

constexpr auto s_maxLocalNeighbours = std::size_t{16};
constexpr auto s_maxRemoteNeighboursPerDataCentre = std::size_t{4};

auto highestRanked(const GossipPeer& self, std::vector<GossipPeer> peers, std::size_t count) -> std::vector<GossipPeer>
{
    const auto rank = [&](const GossipPeer& peer) { return framework::hash64(peer.host, framework::hash64(self.host)); };
    std::ranges::sort(peers, std::greater<>(), rank);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

} // namespace

auto localNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>
{
    auto candidates = std::vector<GossipPeer>();
    std::ranges::copy_if(peers, std::back_inserter(candidates),
                         [&](const auto& peer) { return peer.dataCentre == self.dataCentre && peer.host != self.host; });
    return highestRanked(self, std::move(candidates), s_maxLocalNeighbours);
}

auto remoteNeighbours(const GossipPeer& self, const std::vector<GossipPeer>& peers) -> std::vector<GossipPeer>
{
    auto byDataCentre = std::map<std::string, std::vector<GossipPeer>>();
    for (const auto& peer : peers) {
        if (peer.dataCentre != self.dataCentre) {
            byDataCentre[peer.dataCentre].push_back(peer);
        }
    }
    auto chosen = std::vector<GossipPeer>();
    for (auto& [dataCentre, candidates] : byDataCentre) {
        std::ranges::move(highestRanked(self, std::move(candidates), s_maxRemoteNeighboursPerDataCentre), std::back_inserter(chosen));
    }
    return chosen;
}

} // namespace laburnummill::gossip
