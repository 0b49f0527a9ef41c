#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <optional>

namespace laburnummill::backends {

/// Who received the answer that stated a limit.
enum class LimitSource
{
    Answer, ///< this host
    Peer,   ///< another host
};

inline constexpr auto s_limitSourceNames = framework::NameTable<LimitSource, 2>{{
    {LimitSource::Answer, "answer"},
    {LimitSource::Peer, "peer"},
}};

/// A request rate that a backend server accepts from all hosts together.
struct RateStatement
{
    double perSecond = 0;
    framework::Instant statedAt{}; ///< when the answer that stated it arrived; of another host's answer, at the latest
    LimitSource source = LimitSource::Answer;
};

/// Whether two rates are equal in the precision of reports between hosts.
auto isSameRate(double onePerSecond, double otherPerSecond) -> bool;

/// The request rate that one incarnation of a backend server accepts from all hosts together, as it states in its answers while it
/// is in need. The latest statement holds until an answer to a later request states no limit, or until it is outdated: a server
/// that is sent fewer requests than it accepts may end its limit without this host's notice.
class StatedLimit
{
public:
    /// Takes an answer to a request of this host that was sent at `sentAt`; `perSecond` is nullopt if the answer states no limit.
    auto recordAnswer(std::optional<double> perSecond, framework::Instant sentAt, framework::Instant now) -> void;

    /// Takes a statement that another host has received and that arrived there at `statedAt` at the latest.
    auto recordPeer(double perSecond, framework::Instant statedAt) -> void;

    /// The statement that this host should report to the others: one that it has received itself and of which it knows no
    /// recent report by another host.
    auto toReport(framework::Instant now) const -> std::optional<RateStatement>;

    /// The statement that holds; nullopt if the server is not known to be limited.
    auto current(framework::Instant now) const -> std::optional<RateStatement>;

private:
    std::optional<RateStatement> m_own;    ///< latest in an answer to this host
    std::optional<RateStatement> m_remote; ///< latest that another host has reported
    framework::Instant m_unlimitedAt{};    ///< latest time at which the server is known to have had no limit
};

} // namespace laburnummill::backends
