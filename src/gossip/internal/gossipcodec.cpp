#include "gossip/internal/gossipcodec.h"

#include "gossip/gossip.pb.h"

namespace laburnummill::gossip {

namespace {

template<class Repeated>
auto writeVersions(const std::vector<DocumentVersion>& versions, Repeated* written) -> void
{
    for (const auto& version : versions) {
        auto* entry = written->Add();
        entry->set_name(version.name);
        entry->set_version(version.version);
    }
}

template<class Repeated>
auto readVersions(const Repeated& written) -> std::vector<DocumentVersion>
{
    auto versions = std::vector<DocumentVersion>();
    for (const auto& entry : written) {
        versions.push_back({entry.name(), entry.version()});
    }
    return versions;
}

} // namespace

auto encode(const GossipMessage& message) -> std::string
{
    auto envelope = GossipEnvelope();
    envelope.set_host(message.sender.host);
    envelope.set_data_centre(message.sender.dataCentre);
    envelope.set_address(message.sender.address.text());
    envelope.set_contact_age_ms(message.contactAgeMs);
    writeVersions(message.versions, envelope.mutable_versions());
    writeVersions(message.wants, envelope.mutable_wants());
    envelope.mutable_bucket_hashes()->Add(message.bucketHashes.begin(), message.bucketHashes.end());
    envelope.mutable_differing_buckets()->Add(message.differingBuckets.begin(), message.differingBuckets.end());
    for (const auto& host : message.hosts) {
        auto* entry = envelope.add_hosts();
        entry->set_host(host.host);
        entry->set_stamp(host.stamp);
        writeVersions(host.versions, entry->mutable_versions());
    }
    for (const auto& document : message.documents) {
        auto* entry = envelope.add_documents();
        entry->set_name(document.name);
        entry->set_version(document.document.version);
        entry->set_body(document.document.body);
    }
    return envelope.SerializeAsString();
}

auto decode(std::string_view payload) -> std::optional<GossipMessage>
{
    auto envelope = GossipEnvelope();
    if (!envelope.ParseFromArray(payload.data(), static_cast<int>(payload.size())) || envelope.host().empty()) {
        return std::nullopt;
    }
    auto message = GossipMessage();
    message.sender = {envelope.host(), envelope.data_centre(), framework::Endpoint::parse(envelope.address())};
    message.contactAgeMs = envelope.contact_age_ms();
    message.versions = readVersions(envelope.versions());
    message.wants = readVersions(envelope.wants());
    message.bucketHashes.assign(envelope.bucket_hashes().begin(), envelope.bucket_hashes().end());
    message.differingBuckets.assign(envelope.differing_buckets().begin(), envelope.differing_buckets().end());
    for (const auto& entry : envelope.hosts()) {
        message.hosts.push_back({entry.host(), entry.stamp(), readVersions(entry.versions())});
    }
    for (const auto& entry : envelope.documents()) {
        message.documents.push_back({entry.name(), {entry.version(), entry.body()}});
    }
    return message;
}

} // namespace laburnummill::gossip
