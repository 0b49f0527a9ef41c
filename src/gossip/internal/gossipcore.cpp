#include "gossip/internal/gossipcore.h"

#include "gossip/internal/neighbours.h"

#include <algorithm>

namespace laburnummill::gossip {

using framework::Instant;
using framework::Milliseconds;

namespace {

constexpr auto s_localPerTick = std::size_t{2};
constexpr auto s_remotePerTick = std::size_t{1};
constexpr auto s_localPerAnnouncement = std::size_t{4};
constexpr auto s_remotePerRelay = std::size_t{1};
constexpr auto s_seedsPerTick = std::size_t{2};
constexpr auto s_requestRetryInterval = Milliseconds(500);
constexpr auto s_maxDocumentsPerMessage = std::size_t{8};

} // namespace

GossipCore::GossipCore(GossipPeer self, std::uint64_t firstStamp, std::uint64_t seed, GossipPolicy policy)
    : m_self(std::move(self))
    , m_policy(policy)
    , m_random(seed)
    , m_hosts(m_self.host, firstStamp)
{}

auto GossipCore::addDocument(std::string name, DocumentHooks hooks) -> void
{
    m_documents[std::move(name)].hooks = std::move(hooks);
}

auto GossipCore::setPeers(const std::vector<GossipPeer>& peers) -> void
{
    auto hosts = std::set<std::string>();
    for (const auto& peer : peers) {
        hosts.insert(peer.host);
    }
    m_hosts.setMembers(std::move(hosts));
    m_localNeighbours = localNeighbours(m_self, peers);
    m_remoteNeighbours = remoteNeighbours(m_self, peers);
}

auto GossipCore::setSeeds(std::vector<framework::Endpoint> seeds) -> void
{
    std::erase(seeds, m_self.address);
    m_seeds = std::move(seeds);
}

auto GossipCore::versionOf(DocumentState& state) -> std::uint64_t
{
    const auto version = state.hooks.version ? state.hooks.version() : state.hooks.current().version;
    if (version < state.highest) {
        ++m_counts.versionRegressions;
        return m_policy.rejectsLowerVersion ? state.highest : version;
    }
    state.highest = version;
    return version;
}

auto GossipCore::updateOwnVersions() -> bool
{
    auto versions = std::vector<DocumentVersion>();
    for (auto& [name, state] : m_documents) {
        versions.push_back({name, versionOf(state)});
    }
    return m_hosts.setOwnVersions(std::move(versions));
}

auto GossipCore::versions() const -> std::vector<DocumentVersion>
{
    return m_hosts.find(m_self.host)->versions;
}

auto GossipCore::message(Instant now) const -> GossipMessage
{
    auto message = GossipMessage();
    message.sender = m_self;
    message.contactAgeMs = static_cast<std::uint64_t>(contactAge(now).count());
    return message;
}

auto GossipCore::send(const framework::Endpoint& to, GossipMessage message, std::vector<GossipSend>& sends) -> void
{
    ++m_counts.messagesSent;
    m_counts.documentsSent += message.documents.size();
    sends.push_back({to, std::move(message)});
}

auto GossipCore::digest(Instant now) const -> GossipMessage
{
    auto digest = message(now);
    digest.versions = versions();
    digest.bucketHashes = m_hosts.bucketHashes();
    return digest;
}

auto GossipCore::pick(const std::vector<GossipPeer>& from, std::size_t count) -> std::vector<GossipPeer>
{
    auto picked = std::vector<GossipPeer>();
    std::ranges::sample(from, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count), m_random);
    return picked;
}

auto GossipCore::tick(Instant now) -> std::vector<GossipSend>
{
    auto sends = std::vector<GossipSend>();
    updateOwnVersions();
    if (!m_policy.exchangesDigests) {
        return sends;
    }
    for (const auto& peer : pick(m_localNeighbours, s_localPerTick)) {
        send(peer.address, digest(now), sends);
    }
    for (const auto& peer : pick(m_remoteNeighbours, s_remotePerTick)) {
        send(peer.address, digest(now), sends);
    }
    if (m_localNeighbours.empty() || m_remoteNeighbours.empty()) {
        auto seeds = std::vector<framework::Endpoint>();
        std::ranges::sample(m_seeds, std::back_inserter(seeds), static_cast<std::ptrdiff_t>(s_seedsPerTick), m_random);
        for (const auto& seed : seeds) {
            send(seed, digest(now), sends);
        }
    }
    return sends;
}

auto GossipCore::announce(const DocumentVersion& version, bool toAllRemoteNeighbours, Instant now, std::vector<GossipSend>& sends) -> void
{
    auto announcement = message(now);
    announcement.versions = {version};
    for (const auto& peer : pick(m_localNeighbours, s_localPerAnnouncement)) {
        send(peer.address, announcement, sends);
    }
    for (const auto& peer : pick(m_remoteNeighbours, toAllRemoteNeighbours ? m_remoteNeighbours.size() : s_remotePerRelay)) {
        send(peer.address, announcement, sends);
    }
}

auto GossipCore::push(std::string_view name, Instant now) -> std::vector<GossipSend>
{
    auto sends = std::vector<GossipSend>();
    const auto found = m_documents.find(name);
    if (found == m_documents.end()) {
        return sends;
    }
    updateOwnVersions();
    announce({found->first, found->second.highest}, true, now, sends);
    return sends;
}

auto GossipCore::recordContact(Instant now) -> void
{
    m_lastContactAt = m_lastContactAt ? std::max(*m_lastContactAt, now) : now;
}

auto GossipCore::recordContactFrom(const GossipMessage& message, Instant now) -> void
{
    const auto isFromOtherDataCentre = message.sender.dataCentre != m_self.dataCentre;
    const auto age = Milliseconds(std::min<std::uint64_t>(message.contactAgeMs, std::uint64_t{1} << 40U));
    recordContact(isFromOtherDataCentre ? now : now - age);
}

auto GossipCore::contactAge(Instant now) const -> Milliseconds
{
    const auto lastContactAt = m_lastContactAt.value_or(m_startedAt);
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - lastContactAt));
}

auto GossipCore::takeDocuments(const GossipMessage& message, Instant now, std::vector<GossipSend>& sends) -> void
{
    for (const auto& document : message.documents) {
        const auto found = m_documents.find(document.name);
        if (found == m_documents.end()) {
            continue;
        }
        auto& state = found->second;
        const auto versionBefore = versionOf(state);
        state.hooks.offer(document.document);
        const auto versionAfter = versionOf(state);
        if (versionAfter <= versionBefore) {
            continue;
        }
        ++m_counts.documentsReceived;
        if (m_policy.relaysChanges) {
            announce({document.name, versionAfter}, false, now, sends);
        }
    }
}

auto GossipCore::answerVersions(const GossipMessage& message, GossipMessage& reply, Instant now) -> void
{
    for (const auto& theirs : message.versions) {
        const auto found = m_documents.find(theirs.name);
        if (found == m_documents.end()) {
            continue;
        }
        auto& state = found->second;
        const auto ours = versionOf(state);
        if (ours > theirs.version) {
            reply.versions.push_back({theirs.name, ours});
            continue;
        }
        const auto isRequestedRecently = state.requestedVersion >= theirs.version && now - state.requestedAt < s_requestRetryInterval;
        if (ours < theirs.version && !isRequestedRecently) {
            state.requestedVersion = theirs.version;
            state.requestedAt = now;
            reply.wants.push_back({theirs.name, ours});
        }
    }
}

auto GossipCore::answerWants(const GossipMessage& message, GossipMessage& reply) -> void
{
    for (const auto& want : message.wants) {
        const auto found = m_documents.find(want.name);
        if (found == m_documents.end() || reply.documents.size() >= s_maxDocumentsPerMessage) {
            continue;
        }
        auto& state = found->second;
        const auto ours = versionOf(state);
        auto document = state.hooks.changesSince ? state.hooks.changesSince(want.version) : state.hooks.current();
        if (ours > want.version && document.version >= ours) {
            reply.documents.push_back({want.name, std::move(document)});
        }
    }
}

auto GossipCore::answerHosts(const GossipMessage& message, GossipMessage& reply) -> void
{
    auto differing = std::vector<std::uint32_t>();
    if (message.bucketHashes.size() == s_hostBuckets) {
        const auto ours = m_hosts.bucketHashes();
        for (auto bucket = std::uint32_t{0}; bucket < s_hostBuckets; ++bucket) {
            if (ours[bucket] != message.bucketHashes[bucket]) {
                differing.push_back(bucket);
            }
        }
        reply.differingBuckets = differing;
    }
    for (const auto& entry : message.hosts) {
        m_hosts.merge(entry);
    }
    auto entries = m_hosts.entriesOf(differing.empty() ? message.differingBuckets : differing, s_maxHostsPerMessage, m_random());
    for (const auto& entry : message.hosts) {
        std::erase(entries, entry);
    }
    reply.hosts = std::move(entries);
}

auto GossipCore::handleMessage(const GossipMessage& message, Instant now) -> std::vector<GossipSend>
{
    ++m_counts.messagesReceived;
    auto sends = std::vector<GossipSend>();
    recordContactFrom(message, now);
    takeDocuments(message, now, sends);
    auto reply = this->message(now);
    answerVersions(message, reply, now);
    answerWants(message, reply);
    answerHosts(message, reply);
    updateOwnVersions();
    const auto isEmpty =
        reply.versions.empty() && reply.wants.empty() && reply.documents.empty() && reply.hosts.empty() && reply.differingBuckets.empty();
    if (!isEmpty) {
        send(message.sender.address, std::move(reply), sends);
    }
    return sends;
}

} // namespace laburnummill::gossip
