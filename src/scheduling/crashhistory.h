#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace laburnummill::scheduling {

/// Hash that identifies repetitions of a request: same account, target and whole text, of a turn with the turns that it continues.
using Fingerprint = std::uint64_t;

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view text) -> Fingerprint;

/// A server that failed while it ran a request, or the evidence that the request does not make servers fail.
struct CrashReport
{
    Fingerprint fingerprint = 0;
    std::uint32_t server = 0; ///< hash of its id
    framework::Milliseconds age{0};
    bool isAnswered = false; ///< a server has answered the request; `server` is 0
};

/// Tells requests that make the servers fail that run them. A failure of a server is one failure, whichever hosts report it and however
/// many requests it ended; it takes failures of several servers, or of one at several times, to block a request. Hosts exchange what they
/// know, also what they have from others, so that it outlives the host that saw it. Performs no I/O.
class CrashHistory
{
public:
    /// Records that a server failed while it ran the request.
    auto recordCrash(Fingerprint fingerprint, std::uint32_t server, framework::Instant now) -> void;

    /// Records that a server has answered the request: what happened before was not its doing.
    auto recordAnswer(Fingerprint fingerprint, framework::Instant now) -> void;

    /// Adds what another host knows.
    auto merge(const std::vector<CrashReport>& reports, framework::Instant now) -> void;

    /// Adds failures that a host of an earlier release counts, which does not tell when and where they were.
    auto setCount(std::string_view host, Fingerprint fingerprint, std::uint32_t crashes, framework::Instant now) -> void;

    /// Whether the request is not to be sent to servers.
    auto isBlocked(Fingerprint fingerprint, framework::Instant now) const -> bool;

    /// Number of failures that the request has met.
    auto crashes(Fingerprint fingerprint, framework::Instant now) const -> std::uint32_t;

    /// What this host knows, the newest reports first, at most `limit`. What it has from others only is passed on for requests that have
    /// met several failures.
    auto reports(std::size_t limit, framework::Instant now) const -> std::vector<CrashReport>;

    /// Forgets what is older than the retention period.
    auto removeExpired(framework::Instant now) -> void;

private:
    struct Crash
    {
        std::uint32_t server = 0;
        framework::Instant at{};
        bool isOwn = false; ///< noticed by this host
    };

    struct Requests
    {
        std::vector<Crash> crashes;
        framework::Instant answeredAt{};
        bool isAnsweredHere = false;
        std::map<std::string, std::pair<std::uint32_t, framework::Instant>, std::less<>> counts; ///< of earlier releases, by host
    };

    auto addCrash(Fingerprint fingerprint, const Crash& crash) -> void;
    auto addAnswer(Requests& requests, framework::Instant at, bool isHere) -> void;

    std::map<Fingerprint, Requests> m_requests;
};

} // namespace laburnummill::scheduling
