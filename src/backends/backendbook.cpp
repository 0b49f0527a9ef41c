#include "backends/backendbook.h"

namespace laburnummill::backends {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Living servers renew lapsed entries within about two seconds of the store's return (the platform's promise).
constexpr auto s_lapsedEntryGrace = Milliseconds(2'200);

/// Servers that are gone, remembered for reports of theirs that come late; more than a fleet replaces in a day.
constexpr auto s_formerKept = std::size_t{2'000};

} // namespace

auto BackendBook::put(const BackendEntry& entry, Instant now) -> void
{
    auto& known = m_backends[entry.id];
    const auto isOvertaken = known && (entry.startedAt < known->entry.startedAt ||
                                       (entry.startedAt == known->entry.startedAt && entry.sequence < known->entry.sequence));
    const auto former = m_former.find(entry.id);
    const auto isOfTheGone =
        !known && former != m_former.end() && former->second.startedAt == entry.startedAt && entry.sequence <= former->second.sequence;
    if (isOvertaken || isOfTheGone) {
        if (!known) {
            m_backends.erase(entry.id);
        }
        return; // A report that came late: what the server said since stands.
    }
    m_lapsed.erase(entry.id);
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
    if (m_former.size() >= s_formerKept) {
        m_former.clear();
    }
    m_former[id] = {.startedAt = found->second->entry.startedAt, .sequence = found->second->entry.sequence};
    m_backends.erase(found);
}

} // namespace laburnummill::backends
