#pragma once

#include "calls/iquarantine.h"
#include "framework/global/json.h"

#include <map>
#include <optional>

namespace laburnummill::calls {

/// What is known of one request that crashed back ends. Any two hosts' entries can be merged, in any order and any number of times.
struct CrashEntry
{
    std::string fingerprint;
    std::map<std::string, std::int64_t> crashes; ///< wall time in milliseconds by the request's id at the back end
    std::int64_t clearedAtMs = 0;                ///< crashes up to then count no more
    std::string clearedBy;
    std::string reason;

    auto operator==(const CrashEntry&) const -> bool = default;
};

auto toJson(const CrashEntry& entry) -> framework::Json;
auto crashEntryFromJson(const framework::Json& document) -> CrashEntry;

/// Requests by fingerprint and the crashes they caused. Single-threaded, without I/O; times are wall time in milliseconds.
class QuarantineRegistry
{
public:
    /// Counts a crash; the same id counts once.
    auto report(const std::string& fingerprint, const std::string& requestId, std::int64_t nowMs) -> const CrashEntry&;

    /// Takes in what another host knows.
    auto merge(const CrashEntry& entry) -> void;

    auto isQuarantined(const std::string& fingerprint, std::int64_t nowMs) const -> bool;
    auto clear(const std::string& fingerprint, std::int64_t nowMs, std::string who, std::string why) -> std::optional<CrashEntry>;
    auto list(std::int64_t nowMs) const -> std::vector<QuarantinedRequest>;

    /// Drops what has counted for nothing for long.
    auto removeExpired(std::int64_t nowMs) -> void;

    auto size() const -> std::size_t { return m_entries.size(); }

private:
    std::map<std::string, CrashEntry> m_entries;
};

} // namespace laburnummill::calls
