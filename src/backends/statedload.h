#pragma once

#include "framework/global/time.h"

#include <optional>

namespace laburnummill::backends {

/// What a backend server's answer states of its load.
struct LoadStatement
{
    int running = 0;
    int waiting = 0;            ///< queued requests that do not run yet
    std::optional<double> pace; ///< how long work takes there now, as a ratio to the usual; nullopt if the server does not state it

    auto operator==(const LoadStatement&) const -> bool = default;
};

/// A load statement with the time at which the answer arrived; of another host's answer, at the latest.
struct DatedLoadStatement
{
    LoadStatement load;
    framework::Instant statedAt{};
};

/// The load that one incarnation of a backend server has stated last, to this host or to another one. Statements lose their weight with
/// time: requests end within some tenths of a second, and servers that share their machine change their pace as often.
class StatedLoad
{
public:
    /// Takes the statement of an answer to this host.
    auto recordAnswer(const LoadStatement& load, framework::Instant now) -> void;

    /// Takes a statement to another host.
    auto recordPeer(const LoadStatement& load, framework::Instant statedAt) -> void;

    /// Notes that the server did not answer when it was asked for its load.
    auto recordSilence(framework::Instant now) -> void { m_silentAt = now; }

    /// Whether the server did not answer recently and has not answered since.
    auto isSilent(framework::Instant now) const -> bool;

    /// The latest statement; nullopt if none is recent enough to say anything.
    auto latest(framework::Instant now) const -> std::optional<DatedLoadStatement>;

    /// The latest statement that this host has received itself; nullopt if it is too old to be reported to other hosts.
    auto toReport(framework::Instant now) const -> std::optional<DatedLoadStatement>;

    /// Expected ratio of the time that work takes there now to the usual.
    auto pace(framework::Instant now) const -> double;

    /// Weight of a statement of the numbers of requests, from 1 at once to 0.
    static auto weightOf(framework::Milliseconds age) -> double;

private:
    auto take(const LoadStatement& load, framework::Instant statedAt) -> void;

    std::optional<DatedLoadStatement> m_latest;
    std::optional<DatedLoadStatement> m_own;
    framework::Instant m_silentAt{};
};

} // namespace laburnummill::backends
