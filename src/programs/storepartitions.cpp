#include "programs/storepartitions.h"

#include "programs/turn.h"

#include <algorithm>

namespace laburnummill::programs {

auto storePartitions() -> const std::vector<std::string>&
{
    static const auto names = [] {
        auto partitions = std::vector<std::string>();
        for (auto partition = std::uint32_t{0}; partition < s_partitionCount; ++partition) {
            partitions.push_back(partitionName(partition));
        }
        partitions.emplace_back();
        return partitions;
    }();
    return names;
}

auto partitionSet(const std::vector<std::string>& partitions) -> std::uint32_t
{
    auto set = std::uint32_t{0};
    const auto& all = storePartitions();
    for (auto index = std::size_t{0}; index < all.size(); ++index) {
        set |= std::ranges::find(partitions, all[index]) != partitions.end() ? std::uint32_t{1} << index : 0;
    }
    return set;
}

auto partitionsIn(std::uint32_t set) -> std::vector<std::string>
{
    auto partitions = std::vector<std::string>();
    const auto& all = storePartitions();
    for (auto index = std::size_t{0}; index < all.size(); ++index) {
        if ((set >> index & 1U) != 0) {
            partitions.push_back(all[index]);
        }
    }
    return partitions;
}

} // namespace laburnummill::programs
