#pragma once

#include "calls/iquarantine.h"
#include "framework/global/json.h"

#include <map>
#include <optional>

namespace laburnummill::calls {

/// Crashes of one request. Merging the entries of two hosts is commutative and idempotent.
struct CrashEntry
{
    std::string fingerprint;
    std::map<std::string, std::int64_t> crashes; ///< wall time in milliseconds, by the id of the request sent to the backend server
    std::int64_t clearedAtMs = 0;                ///< crashes up to this wall time do not count
    std::string clearedBy;
    std::string reason;

    auto operator==(const CrashEntry&) const -> bool = default;
};

auto toJson(const CrashEntry& entry) -> framework::Json;
auto crashEntryFromJson(const framework::Json& document) -> CrashEntry;

/// Crashes by request fingerprint. A request is quarantined after more than one crash within an hour.
/// Single-threaded, without I/O; times are wall time in milliseconds.
class QuarantineRegistry
{
public:
    /// Counts a crash. A request id counts only once.
    auto report(const std::string& fingerprint, const std::string& requestId, std::int64_t nowMs) -> const CrashEntry&;

    /// Merges an entry received from another host or read from the store.
    auto merge(const CrashEntry& entry) -> void;

    auto isQuarantined(const std::string& fingerprint, std::int64_t nowMs) const -> bool;
    /// Ends the quarantine and returns the changed entry. Returns nullopt if the request is not in quarantine.
    auto clear(const std::string& fingerprint, std::int64_t nowMs, std::string operatorName, std::string reason)
        -> std::optional<CrashEntry>;
    auto list(std::int64_t nowMs) const -> std::vector<QuarantinedRequest>;

    /// Removes entries that had neither a crash nor a release within the quarantine period.
    auto removeExpired(std::int64_t nowMs) -> void;

    auto size() const -> std::size_t { return m_entries.size(); }

private:
    std::map<std::string, CrashEntry> m_entries;
};

} // namespace laburnummill::calls
