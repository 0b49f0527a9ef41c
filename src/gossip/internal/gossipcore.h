#pragma once

#include "framework/global/time.h"
#include "gossip/gossiptypes.h"
#include "gossip/internal/hosttable.h"

#include <optional>
#include <random>

namespace laburnummill::gossip {

/// Mechanisms that tests switch off in order to see an invariant trip.
struct GossipPolicy
{
    bool exchangesDigests = true;    ///< each tick, with a few neighbours
    bool relaysChanges = true;       ///< a document that has just arrived is announced on
    bool rejectsLowerVersion = true; ///< a version below one seen here before is not passed on
};

/// Counters of what gossip has done.
struct GossipCounts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t documentsSent = 0;
    std::uint64_t documentsReceived = 0;
    std::uint64_t versionRegressions = 0; ///< a module's document went to a lower version: must stay 0
};

/// Decides what to tell whom: anti-entropy by push and pull (Demers et al. 1987) over a fixed set of neighbours, and an
/// announcement relayed at once on each change. Single-threaded; takes events with a time, returns messages.
class GossipCore
{
public:
    GossipCore(GossipPeer self, std::uint64_t firstStamp, std::uint64_t seed, GossipPolicy policy = {});

    auto addDocument(std::string name, DocumentHooks hooks) -> void;

    /// The hosts alive as far as is known; self is left out if it stands among them.
    auto setPeers(const std::vector<GossipPeer>& peers) -> void;

    /// Addresses to try while no peer is known.
    auto setSeeds(std::vector<framework::Endpoint> seeds) -> void;

    /// Once a second: digests to two neighbours of the own data centre and one of another.
    auto tick(framework::Instant now) -> std::vector<GossipSend>;

    /// The document has changed here.
    auto push(std::string_view name, framework::Instant now) -> std::vector<GossipSend>;

    auto handleMessage(const GossipMessage& message, framework::Instant now) -> std::vector<GossipSend>;

    /// Something outside the data centre, e.g. the platform, has just answered.
    auto recordContact(framework::Instant now) -> void;

    /// Since anything outside this data centre was heard of, at first hand or through a peer.
    auto contactAge(framework::Instant now) const -> framework::Milliseconds;

    auto reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t> { return m_hosts.versionsOf(name); }
    auto counts() const -> const GossipCounts& { return m_counts; }
    auto neighbours() const -> std::size_t { return m_localNeighbours.size() + m_remoteNeighbours.size(); }
    auto versions() const -> std::vector<DocumentVersion>;

private:
    struct DocumentState
    {
        DocumentHooks hooks;
        std::uint64_t highest = 0; ///< ever in force here
        std::uint64_t requestedVersion = 0;
        framework::Instant requestedAt{};
    };

    auto versionOf(DocumentState& state) -> std::uint64_t;
    auto updateOwnVersions() -> bool;
    auto message(framework::Instant now) const -> GossipMessage;
    auto send(const framework::Endpoint& to, GossipMessage message, std::vector<GossipSend>& sends) -> void;
    auto digest(framework::Instant now) const -> GossipMessage;
    auto announce(const DocumentVersion& version, bool toAllRemoteNeighbours, framework::Instant now, std::vector<GossipSend>& sends)
        -> void;
    auto recordContactFrom(const GossipMessage& message, framework::Instant now) -> void;
    auto takeDocuments(const GossipMessage& message, framework::Instant now, std::vector<GossipSend>& sends) -> void;
    auto answerVersions(const GossipMessage& message, GossipMessage& reply, framework::Instant now) -> void;
    auto answerWants(const GossipMessage& message, GossipMessage& reply) -> void;
    auto answerHosts(const GossipMessage& message, GossipMessage& reply) -> void;
    auto pick(const std::vector<GossipPeer>& from, std::size_t count) -> std::vector<GossipPeer>;

    GossipPeer m_self;
    GossipPolicy m_policy;
    std::mt19937_64 m_random;
    std::map<std::string, DocumentState, std::less<>> m_documents;
    std::vector<GossipPeer> m_localNeighbours;  ///< neighbours of the own data centre
    std::vector<GossipPeer> m_remoteNeighbours; ///< neighbours of others
    std::vector<framework::Endpoint> m_seeds;
    HostTable m_hosts;
    std::optional<framework::Instant> m_lastContactAt;
    framework::Instant m_startedAt{};
    GossipCounts m_counts;
};

} // namespace laburnummill::gossip
