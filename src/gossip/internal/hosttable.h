#pragma once

#include "gossip/gossiptypes.h"

#include <set>

namespace laburnummill::gossip {

/// The document versions that each host reported as in force. Entries of hosts that are not members are ignored or removed.
class HostTable
{
public:
    HostTable(std::string self, std::uint64_t firstStamp);

    auto setMembers(std::set<std::string> hosts) -> void;

    /// Sets the versions of this host; returns true if they have changed.
    auto setOwnVersions(std::vector<DocumentVersion> versions) -> bool;

    /// Stores an entry with a higher stamp than the known one. If a peer has a newer or different entry for this host, e.g. from
    /// before a restart, this host's own entry gets a higher stamp and so replaces it.
    auto merge(const HostVersions& entry) -> void;

    auto bucketHashes() const -> std::vector<std::uint32_t>;

    /// The entries of the buckets. If there are more than `limit`, returns `limit` of them, starting at `offset` modulo their number.
    auto entriesOf(const std::vector<std::uint32_t>& buckets, std::size_t limit, std::size_t offset) const -> std::vector<HostVersions>;

    auto find(const std::string& host) const -> const HostVersions*;
    auto versionsOf(std::string_view name) const -> std::map<std::string, std::uint64_t>;

private:
    std::string m_self;
    std::set<std::string> m_members;
    std::map<std::string, HostVersions> m_entries;
};

/// The bucket of a host's entry; all hosts compute the same one.
auto bucketOf(std::string_view host) -> std::uint32_t;

} // namespace laburnummill::gossip
