#include "gossip/internal/hosttable.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::gossip {

HostTable::HostTable(std::string self, std::uint64_t firstStamp)
    : m_self(std::move(self))
{
    m_entries[m_self] = {m_self, firstStamp, {}};
}

auto HostTable::setMembers(std::set<std::string> hosts) -> void
{
    hosts.insert(m_self);
    std::erase_if(m_entries, [&](const auto& entry) { return !hosts.contains(entry.first); });
    m_members = std::move(hosts);
}

auto HostTable::setOwnVersions(std::vector<DocumentVersion> versions) -> bool
{
    auto& own = m_entries[m_self];
    if (own.versions == versions) {
        return false;
    }
    own.versions = std::move(versions);
    ++own.stamp;
    return true;
}

auto HostTable::merge(const HostVersions& entry) -> void
{
    if (entry.host == m_self) {
        auto& own = m_entries[m_self];
        if (entry.stamp > own.stamp || (entry.stamp == own.stamp && entry.versions != own.versions)) {
            own.stamp = entry.stamp + 1;
        }
        return;
    }
    if (!m_members.contains(entry.host)) {
        return;
    }
    auto& known = m_entries[entry.host];
    if (known.host.empty() || entry.stamp > known.stamp) {
        known = entry;
    }
}

auto HostTable::bucketHashes() const -> std::vector<std::uint32_t>
{
    auto hashes = std::vector<std::uint32_t>(s_hostBuckets);
    for (const auto& [host, entry] : m_entries) {
        hashes[bucketOf(host)] ^= static_cast<std::uint32_t>(framework::hash64(host, entry.stamp));
    }
    return hashes;
}

auto HostTable::entriesOf(const std::vector<std::uint32_t>& buckets, std::size_t limit, std::size_t offset) const
    -> std::vector<HostVersions>
{
    auto entries = std::vector<HostVersions>();
    for (const auto& [host, entry] : m_entries) {
        if (std::ranges::find(buckets, bucketOf(host)) != buckets.end()) {
            entries.push_back(entry);
        }
    }
    if (entries.size() > limit) {
        std::ranges::rotate(entries, entries.begin() + static_cast<std::ptrdiff_t>(offset % entries.size()));
        entries.resize(limit);
    }
    return entries;
}

auto HostTable::find(const std::string& host) const -> const HostVersions*
{
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto HostTable::versionsOf(std::string_view name) const -> std::map<std::string, std::uint64_t>
{
    auto versions = std::map<std::string, std::uint64_t>();
    for (const auto& [host, entry] : m_entries) {
        const auto found = std::ranges::find(entry.versions, name, &DocumentVersion::name);
        versions[host] = found == entry.versions.end() ? 0 : found->version;
    }
    return versions;
}

auto bucketOf(std::string_view host) -> std::uint32_t
{
    return static_cast<std::uint32_t>(framework::hash64(host) % s_hostBuckets);
}

} // namespace laburnummill::gossip
