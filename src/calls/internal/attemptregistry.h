#pragma once

#include "calls/callerrors.h"
#include "calls/internal/intentrecord.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace laburnummill::calls {

/// What became of a call that asked to become an attempt.
enum class AddResult
{
    Added,        ///< it is the attempt now
    Joined,       ///< the same call is live here: wait for its outcome
    BodyMismatch, ///< the key is live here with another body
    Full,         ///< too many attempts are live
};

/// A call that may not be repeated and is live on this host: running, or run and not recorded yet.
struct LiveAttempt
{
    std::string attempt;
    std::string bodyDigest;
    std::optional<CallOutcome> outcome;
    bool sent = false; ///< a request left and did not surely fail to run
};

/// The live attempts of this host. What is not in it was never sent, or its record says what became of it:
/// the book is what allows an abandoned record to be taken over. Single-threaded, without I/O.
class AttemptRegistry
{
public:
    using Waiter = std::function<void(const CallOutcome&)>;

    auto tryAdd(const IntentKey& key, std::string attempt, std::string bodyDigest) -> AddResult;

    /// Leave to send the attempt's request. False, and counted as a violation, where a request of this call may have run.
    auto markSent(const IntentKey& key, std::string_view attempt) -> bool;

    /// A request ended without having run.
    auto clearSent(const IntentKey& key) -> void;

    /// Gives the outcome to all waiters, and to later ones at once.
    auto publish(const IntentKey& key, CallOutcome outcome) -> void;

    /// Ends the attempt.
    auto erase(const IntentKey& key) -> void;

    /// Calls `waiter` with the outcome, at once where it is known.
    auto wait(const IntentKey& key, Waiter waiter) -> void;

    auto find(const IntentKey& key) const -> const LiveAttempt*;

    auto liveCount() const -> std::size_t { return m_live.size(); }

    /// Attempts whose outcome is known and not recorded yet.
    auto unrecordedCount() const -> std::size_t;

    /// Runs that the book had to refuse; always 0 unless the program is wrong.
    auto violations() const -> std::uint64_t { return m_violations; }

private:
    struct Entry
    {
        LiveAttempt attempt;
        std::vector<Waiter> waiters;
    };

    std::map<IntentKey, Entry> m_live;
    std::uint64_t m_violations = 0;
};

} // namespace laburnummill::calls
