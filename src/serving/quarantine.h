#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::serving {

/// Knows a request that comes again: same account, method, target and body.
using Fingerprint = std::uint64_t;

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view body) -> Fingerprint;

/// A request that was under way at a server when that broke off.
struct SuspectedCrash
{
    Fingerprint fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Counts servers that broke off while they ran a request; keeps those requests from further servers.
class Quarantine
{
public:
    /// A server broke off under this request on this host.
    auto broke(Fingerprint fingerprint, framework::Instant now) -> void;

    /// A server answered the request: it is harmless.
    auto answered(Fingerprint fingerprint) -> void;

    /// What another host counted.
    auto takeElsewhere(std::string_view host, const std::vector<SuspectedCrash>& crashes, framework::Instant now) -> void;

    auto isHeld(Fingerprint fingerprint, framework::Instant now) const -> bool;

    /// What this host counted and others should know.
    auto toTell(framework::Instant now) const -> std::vector<SuspectedCrash>;

    auto removeExpired(framework::Instant now) -> void;

private:
    struct Count
    {
        std::uint32_t crashes = 0;
        framework::Instant last{};
    };

    std::map<Fingerprint, Count> m_own;
    std::map<std::string, std::map<Fingerprint, Count>, std::less<>> m_elsewhere;
};

} // namespace laburnummill::serving
