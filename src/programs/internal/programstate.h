#pragma once

#include "programs/internal/budget.h"
#include "programs/internal/owneractions.h"

#include <map>
#include <optional>
#include <set>

namespace laburnummill::programs {

/// A call that waits for its predecessor, with its caller.
struct WaitingCall
{
    Ticket ticket = 0;
    ProgramCall call;
    framework::Instant deadline;
};

/// The call of a program that is running or waits for its commit; there is at most one.
struct RunningCall
{
    ProgramCall call;
    std::string addedMessages;
    std::uint64_t reservedTokens = 0;
    Ticket run = 0;              ///< ticket of the first caller; identifies the run
    std::vector<Ticket> tickets; ///< the first caller and callers that repeated the call since
    framework::Instant deadline; ///< the first caller's deadline
    bool committing = false;     ///< the backend server has answered
};

/// A program in its owner's memory.
struct ProgramState
{
    ProgramRow row; ///< as committed
    std::uint64_t rowVersion = 0;
    std::uint64_t fencing = 0; ///< fencing number under which it was loaded
    std::uint32_t turns = 0;   ///< including turns that wait for their commit
    std::string head;
    std::uint64_t historyTokens = 0;   ///< of the whole history, by the engine's latest count
    std::vector<std::string> segments; ///< messages of each turn as JSON values joined by commas
    std::map<std::string, calls::CallAnswer> answers;
    std::optional<Budget> budget;  ///< set for roots only
    std::set<std::string> counted; ///< digests of uncommitted turns of sub-agents that are already counted in the root's budget
    std::optional<RunningCall> running;
    std::vector<WaitingCall> waiting;
    std::vector<Ticket> ending;
    std::size_t bytes = 0; ///< of segments and answers
    std::uint64_t usedAt = 0;
};

/// Adds a turn to the history in memory.
auto addTurn(ProgramState& state, const ChainLink& link) -> void;

/// The messages that a call adds to the history as JSON values joined by commas; empty if it has none.
auto messagesOf(const framework::Json& body) -> std::string;

/// The body with its messages replaced by the whole history including `addedMessages`.
auto bodyWithHistory(const ProgramState& state, framework::Json body, const std::string& addedMessages) -> std::string;

} // namespace laburnummill::programs
