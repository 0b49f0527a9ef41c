#pragma once

#include "coordination/coordinationtypes.h"

#include <vector>

namespace laburnummill::coordination {

/// Returns `members` in the order in which they are preferred as owners of `shard`, best first. Uses rendezvous hashing
/// (Thaler and Ravishankar 1998).
auto rankByRendezvous(const ShardKey& shard, std::vector<Member> members) -> std::vector<Member>;

} // namespace laburnummill::coordination
