#pragma once

#include "framework/global/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace laburnummill::backends {

/// Decides whether this host reaches the backend servers by itself. Failures at several servers within a short time are a reason
/// to try to connect to others; if none of these can be reached either, the host is cut off, until a connection succeeds.
/// Connections that exist are no evidence, because a network fault may end only new ones. Performs no I/O.
class ServerReach
{
public:
    /// A connection to the server failed, or it stopped delivering an answer.
    auto recordFailure(std::uint64_t server, framework::Instant now) -> void;

    /// A new connection to any server was established.
    auto recordSuccess() -> void;

    /// Number of servers, of `usable` ones, to which the host should try to connect now; 0 if there is no reason for a probe or one is in
    /// progress.
    auto probesDue(std::size_t usable, framework::Instant now) const -> int;

    auto beginProbe() -> void;

    /// Ends the probe; `tried` servers were tried, none of them successfully if recordSuccess() was not called meanwhile.
    auto endProbe(int tried, framework::Instant now) -> void;

    /// Whether the server had a failure recently. Probes go to other servers first.
    auto hasFailed(std::uint64_t server, framework::Instant now) const -> bool;

    auto isCutOff() const -> bool { return m_isCutOff; }

    /// Number of servers that had a failure recently.
    auto failedServers(framework::Instant now) const -> int;

    /// Time of the last change of isCutOff(); the epoch if there was none.
    auto changedAt() const -> framework::Instant { return m_changedAt; }

private:
    std::map<std::uint64_t, framework::Instant> m_failures; ///< last failure of each server since the last success
    framework::Instant m_probedAt{};
    framework::Instant m_changedAt{};
    bool m_isProbing = false;
    bool m_hasSucceeded = false; ///< since the probe in progress began
    bool m_isCutOff = false;
};

} // namespace laburnummill::backends
