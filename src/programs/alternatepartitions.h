#pragma once

#include "programs/turn.h"
#include "store/storehealth.h"

#include <array>
#include <cstdint>
#include <vector>

namespace laburnummill::programs {

using AlternatePartitions = std::array<std::uint32_t, s_partitionCount - 1>;

/// The partitions of the store that stand in for one that is away, in the order in which they are to be tried, by rendezvous hashing. It is
/// the same on all hosts, so that a search for a row finds it in the first of them that have answered the writer: in one or two reads as a
/// rule.
auto alternatesOf(std::uint32_t partition) -> const AlternatePartitions&;

/// Those of them that are not away, in the same order.
auto answeringAlternates(std::uint32_t partition, const store::IStoreStatus& storeStatus) -> std::vector<std::uint32_t>;

} // namespace laburnummill::programs
