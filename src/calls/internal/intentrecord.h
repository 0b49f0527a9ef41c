#pragma once

#include "calls/calltypes.h"
#include "coordination/coordinationtypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnummill::calls {

/// State of a non-repeatable call.
enum class IntentState
{
    Started,  ///< an attempt may be running
    Finished, ///< the call ran; its answer is stored unless it was too large
    Unknown,  ///< the call may have run; an operator must resolve the outcome
    Released, ///< an operator determined that the call did not run; the next repeat may run it
    Ran,      ///< an operator determined that the call ran; its answer is lost
};

auto intentStateName(IntentState state) -> std::string_view;
auto intentStateFromName(std::string_view name) -> std::optional<IntentState>;

/// Identifies a non-repeatable call. Holds a hash of the idempotency key, not the key itself.
struct IntentKey
{
    std::string account;
    std::string keyHash;

    auto operator<=>(const IntentKey&) const = default;

    /// Key of the row that holds the record.
    auto rowKey() const -> std::string { return account + "/" + keyHash; }
};

/// The stored record that ensures that a call runs at most once.
struct IntentRecord
{
    IntentKey key;
    std::string attempt; ///< random identifier, unique among the attempts at the same call
    coordination::MemberId executor;
    std::string bodyDigest; ///< digest of the route and the body
    IntentState state = IntentState::Started;
    std::int64_t startedAtMs = 0;     ///< wall time, since the Unix epoch
    std::optional<CallAnswer> answer; ///< nullopt before the call has finished, and if the answer was too large to be stored
    std::string resolvedBy;           ///< the operator who settled an unknown outcome
    std::string reason;

    auto operator==(const IntentRecord&) const -> bool = default;
};

/// A record read from the store, with the version of its row.
struct StoredIntent
{
    IntentRecord record;
    std::uint64_t version = 0;
};

auto toJson(const IntentRecord& record) -> framework::Json;
auto intentFromJson(const framework::Json& document) -> IntentRecord;

/// Digest of the call's route and body. A repeat with the same key and a different digest is rejected.
auto bodyDigestOf(const CallRequest& request) -> std::string;

auto intentKeyOf(const CallRequest& request) -> IntentKey;

} // namespace laburnummill::calls
