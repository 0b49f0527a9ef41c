#include "backends/serverreach.h"

#include <algorithm>

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Failures at this many servers within the evidence time are a reason for a probe. One server that crashes is none.
constexpr auto s_suspiciousServers = 2;
constexpr auto s_evidenceTime = Milliseconds(2'000);

/// Servers that one probe tries. While a host is cut off, one at a time suffices to notice the end of the cut.
constexpr auto s_probedServers = 5;
constexpr auto s_probeInterval = Milliseconds(1'000);
constexpr auto s_returnProbeInterval = Milliseconds(500);

} // namespace

auto ServerReach::recordFailure(std::uint64_t server, Instant now) -> void
{
    m_failures[server] = now;
    std::erase_if(m_failures, [now](const auto& failure) { return failure.second + s_evidenceTime < now; });
}

auto ServerReach::recordSuccess() -> void
{
    m_hasSucceeded = true;
    m_failures.clear();
}

auto ServerReach::beginProbe() -> void
{
    m_isProbing = true;
    m_hasSucceeded = false;
}

auto ServerReach::probesDue(std::size_t usable, Instant now) const -> int
{
    if (m_isProbing) {
        return 0;
    }
    if (m_isCutOff) {
        return now >= m_probedAt + s_returnProbeInterval ? 1 : 0;
    }
    const auto suspicious = std::min(s_suspiciousServers, std::max(static_cast<int>(usable), 1));
    return failedServers(now) >= suspicious && now >= m_probedAt + s_probeInterval ? s_probedServers : 0;
}

auto ServerReach::endProbe(int tried, Instant now) -> void
{
    m_isProbing = false;
    m_probedAt = now;
    const auto isCutOff = !m_hasSucceeded && (m_isCutOff || tried > 0);
    if (isCutOff != m_isCutOff) {
        m_isCutOff = isCutOff;
        m_changedAt = now;
    }
}

auto ServerReach::hasFailed(std::uint64_t server, Instant now) const -> bool
{
    const auto found = m_failures.find(server);
    return found != m_failures.end() && now < found->second + s_evidenceTime;
}

auto ServerReach::failedServers(Instant now) const -> int
{
    return static_cast<int>(
        std::ranges::count_if(m_failures, [now](const auto& failure) { return now < failure.second + s_evidenceTime; }));
}

} // namespace laburnummill::backends
