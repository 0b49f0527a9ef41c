#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::serving {

/// Hash that identifies repetitions of a request: same account, target and body.
using Fingerprint = std::uint64_t;

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view body) -> Fingerprint;

/// A request that was in progress at a server when its connection failed.
struct SuspectedCrash
{
    Fingerprint fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Counts the server failures during each request; blocks requests that repeatedly crash servers.
class Quarantine
{
public:
    /// Records that a server failed while it ran this host's request.
    auto recordCrash(Fingerprint fingerprint, framework::Instant now) -> void;

    /// Clears this host's count for a request that a server has answered.
    auto recordAnswer(Fingerprint fingerprint) -> void;

    /// Replaces the counts reported by another host.
    auto setRemoteCrashes(std::string_view host, const std::vector<SuspectedCrash>& crashes, framework::Instant now) -> void;

    /// Whether the crashes counted on all hosts reach the threshold.
    auto isQuarantined(Fingerprint fingerprint, framework::Instant now) const -> bool;

    /// The counts of this host, to be sent to other hosts.
    auto localCrashes(framework::Instant now) const -> std::vector<SuspectedCrash>;

    /// Removes counts of this host that are older than the retention period.
    auto removeExpired(framework::Instant now) -> void;

private:
    struct Count
    {
        std::uint32_t crashes = 0;
        framework::Instant last{};
    };

    std::map<Fingerprint, Count> m_localCounts;
    std::map<std::string, std::map<Fingerprint, Count>, std::less<>> m_remoteCounts;
};

} // namespace laburnummill::serving
