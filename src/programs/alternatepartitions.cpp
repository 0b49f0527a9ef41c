#include "programs/alternatepartitions.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <iterator>

namespace laburnummill::programs {

namespace {

auto rankAlternates(std::uint32_t partition) -> AlternatePartitions
{
    auto alternates = AlternatePartitions();
    auto next = alternates.begin();
    for (auto other = std::uint32_t{0}; other < s_partitionCount; ++other) {
        if (other != partition) {
            *next++ = other;
        }
    }
    const auto seed = framework::hash64(partitionName(partition));
    std::ranges::sort(alternates, {}, [seed](std::uint32_t other) { return framework::hash64(partitionName(other), seed); });
    return alternates;
}

} // namespace

auto alternatesOf(std::uint32_t partition) -> const AlternatePartitions&
{
    static const auto ranked = [] {
        auto all = std::array<AlternatePartitions, s_partitionCount>();
        for (auto each = std::uint32_t{0}; each < s_partitionCount; ++each) {
            all[each] = rankAlternates(each);
        }
        return all;
    }();
    return ranked.at(partition);
}

auto answeringAlternates(std::uint32_t partition, const store::IStoreStatus& storeStatus) -> std::vector<std::uint32_t>
{
    auto answering = std::vector<std::uint32_t>();
    std::ranges::copy_if(alternatesOf(partition), std::back_inserter(answering), [&storeStatus](std::uint32_t alternate) {
        return storeStatus.state(partitionName(alternate)) != store::StoreState::Away;
    });
    return answering;
}

} // namespace laburnummill::programs
