#include "calls/internal/quarantineregistry.h"

#include <algorithm>

namespace laburnummill::calls {

using framework::Json;

namespace {

constexpr auto s_maxToleratedCrashes = std::uint64_t{1};
constexpr auto s_quarantineMs = std::int64_t{60 * 60'000};
constexpr auto s_maxStoredCrashes = std::size_t{8};

struct ActiveCrashes
{
    std::uint64_t crashes = 0;
    std::int64_t lastMs = 0;
};

auto activeCrashesOf(const CrashEntry& entry, std::int64_t nowMs) -> ActiveCrashes
{
    auto active = ActiveCrashes();
    for (const auto& [id, atMs] : entry.crashes) {
        if (atMs > entry.clearedAtMs && atMs + s_quarantineMs > nowMs) {
            ++active.crashes;
            active.lastMs = std::max(active.lastMs, atMs);
        }
    }
    return active;
}

} // namespace

auto toJson(const CrashEntry& entry) -> Json
{
    return {{"fingerprint", entry.fingerprint},
            {"crashes", entry.crashes},
            {"clearedAtMs", entry.clearedAtMs},
            {"clearedBy", entry.clearedBy},
            {"reason", entry.reason}};
}

auto crashEntryFromJson(const Json& document) -> CrashEntry
{
    auto entry = CrashEntry();
    entry.fingerprint = framework::stringAt(document, "fingerprint");
    const auto crashes = document.is_object() ? document.value("crashes", Json::object()) : Json::object();
    for (const auto& [id, atMs] : crashes.items()) {
        if (atMs.is_number_integer() && entry.crashes.size() < s_maxStoredCrashes) {
            entry.crashes[id] = atMs.get<std::int64_t>();
        }
    }
    entry.clearedAtMs = framework::integerAt(document, "clearedAtMs");
    entry.clearedBy = framework::stringAt(document, "clearedBy");
    entry.reason = framework::stringAt(document, "reason");
    return entry;
}

auto QuarantineRegistry::report(const std::string& fingerprint, const std::string& requestId, std::int64_t nowMs) -> const CrashEntry&
{
    merge({fingerprint, {{requestId, nowMs}}, 0, {}, {}});
    return m_entries[fingerprint];
}

auto QuarantineRegistry::merge(const CrashEntry& entry) -> void
{
    if (entry.fingerprint.empty()) {
        return;
    }
    auto& known = m_entries[entry.fingerprint];
    known.fingerprint = entry.fingerprint;
    if (entry.clearedAtMs > known.clearedAtMs) {
        known.clearedAtMs = entry.clearedAtMs;
        known.clearedBy = entry.clearedBy;
        known.reason = entry.reason;
    }
    known.crashes.insert(entry.crashes.begin(), entry.crashes.end());
    while (known.crashes.size() > s_maxStoredCrashes) {
        known.crashes.erase(std::ranges::min_element(known.crashes, {}, [](const auto& crash) { return crash.second; }));
    }
}

auto QuarantineRegistry::isQuarantined(const std::string& fingerprint, std::int64_t nowMs) const -> bool
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && activeCrashesOf(found->second, nowMs).crashes > s_maxToleratedCrashes;
}

auto QuarantineRegistry::clear(const std::string& fingerprint, std::int64_t nowMs, std::string operatorName, std::string reason)
    -> std::optional<CrashEntry>
{
    if (!isQuarantined(fingerprint, nowMs)) {
        return std::nullopt;
    }
    auto& entry = m_entries[fingerprint];
    entry.clearedAtMs = std::max(nowMs, activeCrashesOf(entry, nowMs).lastMs);
    entry.clearedBy = std::move(operatorName);
    entry.reason = std::move(reason);
    return entry;
}

auto QuarantineRegistry::list(std::int64_t nowMs) const -> std::vector<QuarantinedRequest>
{
    auto requests = std::vector<QuarantinedRequest>();
    for (const auto& [fingerprint, entry] : m_entries) {
        const auto active = activeCrashesOf(entry, nowMs);
        if (active.crashes > s_maxToleratedCrashes) {
            requests.push_back({fingerprint, active.crashes, active.lastMs, active.lastMs + s_quarantineMs});
        }
    }
    return requests;
}

auto QuarantineRegistry::removeExpired(std::int64_t nowMs) -> void
{
    std::erase_if(m_entries, [nowMs](const auto& entry) {
        return activeCrashesOf(entry.second, nowMs).crashes == 0 && entry.second.clearedAtMs + s_quarantineMs < nowMs;
    });
}

} // namespace laburnummill::calls
