#include "scheduling/connectionlimit.h"

#include <algorithm>

namespace laburnummill::scheduling {

namespace {

/// For the program itself, the store, the readiness probe and the metrics.
constexpr auto s_fixedDescriptors = std::uint64_t{64};
/// Share of the descriptors for connections of other hosts.
constexpr auto s_hostParts = std::uint64_t{8};
/// A request takes a connection to a backend server beside its caller's.
constexpr auto s_descriptorsPerCaller = std::uint64_t{2};

/// Share of the memory for the state of callers' connections, without what is buffered for them.
constexpr auto s_memoryParts = std::uint64_t{4};
constexpr auto s_bytesPerCaller = std::uint64_t{8 * 1024};

constexpr auto s_minCallers = std::uint64_t{16};
constexpr auto s_minHosts = std::uint64_t{16};

} // namespace

ConnectionLimit::ConnectionLimit(std::uint64_t descriptors, std::uint64_t memoryBytes)
{
    const auto reserved = s_fixedDescriptors + descriptors / s_hostParts;
    auto callers = (descriptors - std::min(descriptors, reserved)) / s_descriptorsPerCaller;
    if (memoryBytes > 0) {
        callers = std::min(callers, memoryBytes / s_memoryParts / s_bytesPerCaller);
    }
    m_maxHosts = static_cast<std::size_t>(std::max(descriptors / s_hostParts, s_minHosts));
    m_maxCallers = static_cast<std::size_t>(std::max(callers, s_minCallers));
}

auto ConnectionLimit::decide(std::size_t open, std::size_t replaceable) const -> ConnectionDecision
{
    if (open < m_maxCallers) {
        return ConnectionDecision::Accept;
    }
    return replaceable > 0 ? ConnectionDecision::Replace : ConnectionDecision::Reject;
}

} // namespace laburnummill::scheduling
