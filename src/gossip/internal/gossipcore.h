#pragma once

#include "framework/global/time.h"
#include "gossip/gossiptypes.h"
#include "gossip/internal/hosttable.h"

#include <optional>
#include <random>

namespace laburnummill::gossip {

/// Mechanisms that tests disable to check that the violation of an invariant is detected.
struct GossipPolicy
{
    bool exchangesDigests = true;    ///< on each tick, with a few neighbours
    bool relaysChanges = true;       ///< announces a newly received version to further neighbours
    bool rejectsLowerVersion = true; ///< does not spread a version lower than one that was in force on this host
};

/// Counters of messages and documents.
struct GossipCounts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t documentsSent = 0;
    std::uint64_t documentsReceived = 0;
    std::uint64_t versionRegressions = 0; ///< times that a module returned a lower version than before; must stay 0
};

/// Decides which messages are sent to which peers: push-pull anti-entropy (Demers et al. 1987) over a fixed set of neighbours,
/// and an announcement on each change that is relayed at once. Single-threaded; handles events with a time and returns the
/// messages to send.
class GossipCore
{
public:
    GossipCore(GossipPeer self, std::uint64_t firstStamp, std::uint64_t seed, GossipPolicy policy = {});

    auto addDocument(std::string name, DocumentHooks hooks) -> void;

    /// Sets the hosts that are believed alive. This host is ignored if `peers` contains it.
    auto setPeers(const std::vector<GossipPeer>& peers) -> void;

    /// Addresses that also get digests while the own data centre or all other data centres have no known peers.
    auto setSeeds(std::vector<framework::Endpoint> seeds) -> void;

    /// Called once a second. Returns digests for two neighbours in the own data centre and one in another.
    auto tick(framework::Instant now) -> std::vector<GossipSend>;

    /// Called after the document has changed on this host. Returns the announcements, or none for an unknown document.
    auto push(std::string_view name, framework::Instant now) -> std::vector<GossipSend>;

    auto handleMessage(const GossipMessage& message, framework::Instant now) -> std::vector<GossipSend>;

    /// Records a reply from outside the data centre, e.g. from the platform.
    auto recordContact(framework::Instant now) -> void;

    /// Time since the last contact outside this data centre, by this host or a peer; since the start if there was none.
    auto contactAge(framework::Instant now) const -> framework::Milliseconds;

    auto reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t> { return m_hosts.versionsOf(name); }
    auto counts() const -> const GossipCounts& { return m_counts; }
    auto neighbours() const -> std::size_t { return m_localNeighbours.size() + m_remoteNeighbours.size(); }
    auto versions() const -> std::vector<DocumentVersion>;

private:
    struct DocumentState
    {
        DocumentHooks hooks;
        std::uint64_t highest = 0; ///< highest version that was in force on this host
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
    std::vector<GossipPeer> m_localNeighbours;  ///< in the own data centre
    std::vector<GossipPeer> m_remoteNeighbours; ///< in other data centres
    std::vector<framework::Endpoint> m_seeds;
    HostTable m_hosts;
    std::optional<framework::Instant> m_lastContactAt;
    framework::Instant m_startedAt{};
    GossipCounts m_counts;
};

} // namespace laburnummill::gossip
