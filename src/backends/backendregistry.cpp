#include "backends/backendregistry.h"

#include <algorithm>

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// The platform guarantees that live servers renew expired entries within about two seconds after a store outage.
constexpr auto s_expiredEntryGrace = Milliseconds(2'200);

/// Maximum number of removed servers that are tracked in order to ignore their late reports. A fleet replaces fewer in a day.
constexpr auto s_maxRemovedServers = std::size_t{2'000};

} // namespace

auto BackendRegistry::put(const BackendEntry& entry, Instant now) -> void
{
    auto& known = m_backends[entry.id];
    const auto isOutdated = known && (entry.startedAt < known->entry.startedAt ||
                                      (entry.startedAt == known->entry.startedAt && entry.sequence < known->entry.sequence));
    const auto removedServer = m_removed.find(entry.id);
    const auto isFromRemovedServer = !known && removedServer != m_removed.end() && removedServer->second.startedAt == entry.startedAt &&
                                     entry.sequence <= removedServer->second.sequence;
    if (isOutdated || isFromRemovedServer) {
        if (!known) {
            m_backends.erase(entry.id);
        }
        return; // The report is older than one already processed.
    }
    m_expired.erase(entry.id);
    if (known && known->entry.startedAt != entry.startedAt) {
        known->isRemoved = true;
        known.reset();
    }
    if (!known) {
        known = std::make_shared<Backend>();
        known->number = ++m_lastNumber;
        if (removedServer != m_removed.end() && removedServer->second.startedAt == entry.startedAt) {
            known->leave = removedServer->second.leave;
            known->limit = removedServer->second.limit;
        }
    }
    known->leave->recordReport(entry.isDraining, entry.sequence, now);
    known->entry = entry;
    known->coldUntil = now + entry.remainingColdTime;
}

auto BackendRegistry::remove(std::string_view id, bool isConfirmed, Instant now) -> void
{
    const auto key = std::string(id);
    if (m_isStoreUnavailable && !isConfirmed) {
        m_expired.try_emplace(key, Instant::max());
    } else if (m_wasStoreUnavailable && now < m_storeAvailableSince + s_expiredEntryGrace) {
        m_expired.try_emplace(key, m_storeAvailableSince + s_expiredEntryGrace);
    } else {
        drop(key);
    }
}

auto BackendRegistry::markStoreUnavailable() -> void
{
    m_isStoreUnavailable = true;
    m_wasStoreUnavailable = true;
}

auto BackendRegistry::markStoreAvailable(Instant now) -> void
{
    m_isStoreUnavailable = false;
    m_storeAvailableSince = now;
    for (auto& [id, removeAt] : m_expired) {
        removeAt = now + s_expiredEntryGrace;
    }
}

auto BackendRegistry::expire(Instant now) -> void
{
    for (auto entry = m_expired.begin(); entry != m_expired.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        const auto id = entry->first;
        entry = m_expired.erase(entry);
        drop(id);
    }
}

auto BackendRegistry::find(std::string_view id) const -> BackendPtr
{
    const auto found = m_backends.find(std::string(id));
    return found == m_backends.end() ? nullptr : found->second;
}

auto BackendRegistry::available(std::string_view service) const -> std::vector<BackendPtr>
{
    auto servers = std::vector<BackendPtr>();
    for (const auto& [id, backend] : m_backends) {
        if (backend->entry.service == service && !backend->leave->isLeaving() && !isDrained(backend->entry.dataCentre)) {
            servers.push_back(backend);
        }
    }
    return servers;
}

auto BackendRegistry::isAnyLeaving(std::string_view service) const -> bool
{
    return std::ranges::any_of(
        m_backends, [service](const auto& known) { return known.second->entry.service == service && known.second->leave->isLeaving(); });
}

auto BackendRegistry::areAllLeaving(std::string_view service) const -> bool
{
    return isAnyLeaving(service) && std::ranges::none_of(m_backends, [service](const auto& known) {
               return known.second->entry.service == service && !known.second->leave->isLeaving();
           });
}

auto BackendRegistry::drop(const std::string& id) -> void
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end()) {
        return;
    }
    found->second->isRemoved = true;
    if (m_removed.size() >= s_maxRemovedServers) {
        m_removed.clear();
    }
    m_removed[id] = {.startedAt = found->second->entry.startedAt,
                     .sequence = found->second->entry.sequence,
                     .leave = found->second->leave,
                     .limit = found->second->limit};
    m_backends.erase(found);
}

} // namespace laburnummill::backends
