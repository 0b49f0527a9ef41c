#pragma once

#include "framework/global/time.h"
#include "programs/turn.h"

#include <map>
#include <vector>

namespace laburnummill::programs {

/// How hosts get the tokens of turns.
enum class TokenRequests
{
    PerTurn,   ///< each turn asks its program's home host and returns what it has not used
    InAdvance, ///< when a turn ends, its host requests the tokens of the next one
};

/// Decides how many tokens a host that is not a program's home holds for the program's next turn: one turn's at most, for a limited time.
/// Does no I/O.
class AdvanceTokens
{
public:
    struct Plan
    {
        std::uint64_t returned = 0;  ///< to return to the home host now
        std::uint64_t requested = 0; ///< to request from the home host
    };

    /// A turn of at most `turnTokens` has ended; `free` tokens of the program are left on this host.
    auto onTurnEnded(const ProgramKey& key, std::uint64_t free, std::uint64_t turnTokens, framework::Instant now) -> Plan;

    /// Holds free tokens for another period. Returns how many of them exceed one turn's, those of a request in progress included.
    auto hold(const ProgramKey& key, std::uint64_t free, std::uint64_t turnTokens, framework::Instant now) -> std::uint64_t;

    /// The request for tokens has ended, with or without an answer.
    auto onRequestEnded(const ProgramKey& key) -> void;

    /// A turn has used the tokens held for it.
    auto onUsed(const ProgramKey& key) -> void;

    /// Removes the programs for whose tokens no turn came in time; returns them.
    auto takeExpired(framework::Instant now) -> std::vector<ProgramKey>;

private:
    struct Entry
    {
        framework::Instant heldUntil{};
        std::uint64_t requested = 0; ///< by the request in progress
        bool isAwaitingUse = false;  ///< requested tokens have not been used yet
    };

    /// Whether the last requests were of use often enough to make another.
    auto isRequestDue() -> bool;

    std::map<ProgramKey, Entry> m_entries;
    double m_usedShare = 1; ///< of the last requests
    std::uint64_t m_skipped = 0;
};

/// Limits the wait for the answer of a home host by what is usual. Does no I/O.
class HomeWait
{
public:
    auto limit() const -> framework::Milliseconds;

    /// The host has answered a request that may wait for the store or for other turns.
    auto onAnswered(const std::string& address, framework::Instant askedAt, framework::Instant now) -> void;

    /// The host has sent any other answer.
    auto onHeard(const std::string& address, framework::Instant now) -> void;

    /// The host has not answered a request within limit().
    auto onOverdue(const std::string& address, framework::Instant askedAt, framework::Instant now) -> void;

    /// Whether the host has recently left a request unanswered and has answered no later one.
    auto isSilent(const std::string& address, framework::Instant now) const -> bool;

private:
    struct Host
    {
        framework::Instant answeredAt{};
        framework::Instant silentUntil{};
    };

    std::map<std::string, Host> m_hosts;
    std::vector<framework::Milliseconds> m_recent; ///< durations of the last answers, unordered in time
    std::size_t m_next = 0;
};

} // namespace laburnummill::programs
