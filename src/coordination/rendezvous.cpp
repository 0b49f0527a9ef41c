#include "coordination/rendezvous.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::coordination {

auto rankByRendezvous(const ShardKey& shard, std::vector<Member> members) -> std::vector<Member>
{
    const auto seed = framework::hash64(shard.name, static_cast<std::uint64_t>(shard.kind));
    auto weighted = std::vector<std::pair<std::uint64_t, Member>>();
    weighted.reserve(members.size());
    for (auto& member : members) {
        const auto weight = framework::hash64(member.id.host, seed);
        weighted.emplace_back(weight, std::move(member));
    }
    std::ranges::sort(weighted, [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.id < right.second.id;
    });
    members.clear();
    for (auto& [weight, member] : weighted) {
        members.push_back(std::move(member));
    }
    return members;
}

} // namespace laburnummill::coordination
