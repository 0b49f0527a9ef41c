#include "backends/backendbook.h"

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Living servers renew lapsed entries within about two seconds of the store's return (the platform's promise).
constexpr auto s_lapsedEntryGrace = Milliseconds(2'200);

} // namespace

auto BackendBook::put(const BackendEntry& entry, Instant now) -> void
{
    m_lapsed.erase(entry.id);
    auto& known = m_backends[entry.id];
    if (known && known->entry.startedAt != entry.startedAt) {
        known->isGone = true;
        known.reset();
    }
    if (!known) {
        known = std::make_shared<Backend>();
        known->number = ++m_lastNumber;
    }
    known->entry = entry;
    known->coldUntil = now + entry.coldLeft;
}

auto BackendBook::remove(std::string_view id, bool isCertain, Instant now) -> void
{
    const auto key = std::string(id);
    if (m_isStoreLost && !isCertain) {
        m_lapsed.try_emplace(key, Instant::max());
    } else if (m_wasStoreLost && now < m_storeRegainedAt + s_lapsedEntryGrace) {
        m_lapsed.try_emplace(key, m_storeRegainedAt + s_lapsedEntryGrace);
    } else {
        drop(key);
    }
}

auto BackendBook::storeLost() -> void
{
    m_isStoreLost = true;
    m_wasStoreLost = true;
}

auto BackendBook::storeRegained(Instant now) -> void
{
    m_isStoreLost = false;
    m_storeRegainedAt = now;
    for (auto& [id, goneAt] : m_lapsed) {
        goneAt = now + s_lapsedEntryGrace;
    }
}

auto BackendBook::expire(Instant now) -> void
{
    for (auto entry = m_lapsed.begin(); entry != m_lapsed.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        const auto id = entry->first;
        entry = m_lapsed.erase(entry);
        drop(id);
    }
}

auto BackendBook::find(std::string_view id) const -> BackendPtr
{
    const auto found = m_backends.find(std::string(id));
    return found == m_backends.end() ? nullptr : found->second;
}

auto BackendBook::available(std::string_view service) const -> std::vector<BackendPtr>
{
    auto servers = std::vector<BackendPtr>();
    for (const auto& [id, backend] : m_backends) {
        if (backend->entry.service == service && !backend->entry.isDraining && !isDrained(backend->entry.dataCentre)) {
            servers.push_back(backend);
        }
    }
    return servers;
}

auto BackendBook::drop(const std::string& id) -> void
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end()) {
        return;
    }
    found->second->isGone = true;
    m_backends.erase(found);
}

} // namespace laburnummill::backends
