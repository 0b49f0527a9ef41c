#pragma once

#include "calls/callerrors.h"
#include "calls/internal/intentrecord.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace laburnummill::calls {

/// Result of registering an attempt at a call.
enum class AddResult
{
    Added,        ///< the attempt is registered
    Joined,       ///< an attempt at the same call is active on this host; the caller waits for its outcome
    BodyMismatch, ///< the key is in use on this host with a different route or body
    Full,         ///< too many attempts are active
};

/// An attempt at a non-repeatable call on this host that is running, or has run and is not recorded yet.
struct LiveAttempt
{
    std::string attempt;
    std::string bodyDigest;
    std::optional<CallOutcome> outcome;
    bool sent = false; ///< a request was sent and may have run
};

/// Registry of the active attempts on this host. If an attempt of the host's current incarnation is not registered, either its
/// request was never sent or its record holds the outcome. If the record is in state Started, only the first case is possible,
/// and the call can be claimed again.
/// Single-threaded, without I/O.
class AttemptRegistry
{
public:
    using Waiter = std::function<void(const CallOutcome&)>;

    auto tryAdd(const IntentKey& key, std::string attempt, std::string bodyDigest) -> AddResult;

    /// Marks the attempt's request as sent. Returns false and counts a violation if the attempt is not registered or its request
    /// is already marked and may have run. If it returns false, the caller must not send the request.
    auto markSent(const IntentKey& key, std::string_view attempt) -> bool;

    /// Marks the request as not sent after it has failed without having run.
    auto clearSent(const IntentKey& key) -> void;

    /// Passes the outcome to all waiters and stores it for later waiters.
    auto publish(const IntentKey& key, CallOutcome outcome) -> void;

    auto erase(const IntentKey& key) -> void;

    /// Calls `waiter` with the outcome as soon as it is known. Does nothing if no attempt is registered for `key`.
    auto wait(const IntentKey& key, Waiter waiter) -> void;

    /// Returns nullptr if no attempt is registered for `key`.
    auto find(const IntentKey& key) const -> const LiveAttempt*;

    auto liveCount() const -> std::size_t { return m_live.size(); }

    /// Number of attempts whose outcome is known and not recorded yet.
    auto unrecordedCount() const -> std::size_t;

    /// Number of sends that markSent() has refused; a value other than 0 means a programming error.
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
