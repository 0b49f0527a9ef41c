#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace laburnummill::programs {

/// The partitions of the store that hosts use: those of the programs, and that of the operator's rows, which has no name.
auto storePartitions() -> const std::vector<std::string>&;

/// A set of them, a bit each in the order of storePartitions(), for messages between hosts.
auto partitionSet(const std::vector<std::string>& partitions) -> std::uint32_t;

auto partitionsIn(std::uint32_t set) -> std::vector<std::string>;

} // namespace laburnummill::programs
