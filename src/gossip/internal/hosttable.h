#pragma once

#include "gossip/gossiptypes.h"

#include <set>

namespace laburnummill::gossip {

/// What each host was heard to have in force. Entries of hosts that are no members are neither taken nor kept.
class HostTable
{
public:
    HostTable(std::string self, std::uint64_t firstStamp);

    auto setMembers(std::set<std::string> hosts) -> void;

    /// Takes the own versions over; true where they have changed.
    auto setOwnVersions(std::vector<DocumentVersion> versions) -> bool;

    /// Takes an entry with a higher stamp over. An entry on ourselves that we did not make is outbid.
    auto merge(const HostVersions& entry) -> void;

    auto bucketHashes() const -> std::vector<std::uint32_t>;

    /// Entries of the buckets, at most `limit`, beginning behind a place that `offset` gives.
    auto entriesOf(const std::vector<std::uint32_t>& buckets, std::size_t limit, std::size_t offset) const -> std::vector<HostVersions>;

    auto find(const std::string& host) const -> const HostVersions*;
    auto versionsOf(std::string_view name) const -> std::map<std::string, std::uint64_t>;

private:
    std::string m_self;
    std::set<std::string> m_members;
    std::map<std::string, HostVersions> m_entries;
};

/// The bucket of a host's entry, the same on each host.
auto bucketOf(std::string_view host) -> std::uint32_t;

} // namespace laburnummill::gossip
