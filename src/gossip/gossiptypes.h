#pragma once

#include "framework/http/httptypes.h"
#include "gossip/igossip.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnummill::gossip {

/// A host and the address at which gossip messages reach it.
struct GossipPeer
{
    std::string host;
    std::string dataCentre;
    framework::Endpoint address;

    auto operator==(const GossipPeer&) const -> bool = default;
};

/// The version of one document that a host has in force.
struct DocumentVersion
{
    std::string name;
    std::uint64_t version = 0;

    auto operator==(const DocumentVersion&) const -> bool = default;
};

/// The document versions that a host reported as in force. Of two entries for a host the one with the higher stamp is valid.
struct HostVersions
{
    std::string host;
    std::uint64_t stamp = 0;
    std::vector<DocumentVersion> versions;

    auto operator==(const HostVersions&) const -> bool = default;
};

struct NamedDocument
{
    std::string name;
    VersionedDocument document;

    auto operator==(const NamedDocument&) const -> bool = default;
};

/// A message between two daemons. Fields that are not needed are left empty.
struct GossipMessage
{
    GossipPeer sender;
    std::uint64_t contactAgeMs = 0;              ///< time since the last contact outside the sender's data centre
    std::vector<DocumentVersion> versions;       ///< of the sender's documents
    std::vector<std::uint32_t> bucketHashes;     ///< of the sender's host entries, one hash per bucket
    std::vector<std::uint32_t> differingBuckets; ///< buckets whose entries the receiver sends back
    std::vector<HostVersions> hosts;             ///< at most s_maxHostsPerMessage
    std::vector<DocumentVersion> wants;          ///< requested documents, with the version that the sender has
    std::vector<NamedDocument> documents;

    auto operator==(const GossipMessage&) const -> bool = default;
};

/// A message to be sent.
struct GossipSend
{
    framework::Endpoint to;
    GossipMessage message;
};

inline constexpr auto s_hostBuckets = std::size_t{32};
inline constexpr auto s_maxHostsPerMessage = std::size_t{64};

} // namespace laburnummill::gossip
