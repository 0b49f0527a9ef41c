#pragma once

#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/global/json.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/ipeers.h"
#include "gossip/iconfirmations.h"
#include "gossip/internal/gossipcore.h"

#include <memory>

namespace laburnummill::gossip {

/// Services that GossipService uses.
struct GossipServices
{
    std::shared_ptr<coordination::IMembership> membership;
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<framework::Metrics> metrics;
};

/// Sends and receives the messages of GossipCore over the peer links.
class GossipService final : public IGossip, public IConfirmations, public IExternalContact
{
public:
    /// `seeds`: see GossipCore::setSeeds.
    GossipService(GossipServices services, std::vector<framework::Endpoint> seeds, std::uint64_t seed);

    auto addDocument(std::string name, DocumentHooks hooks) -> void override;
    auto push(std::string_view name) -> void override;
    auto reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t> override;

    auto state(std::string_view document, std::uint64_t version, const std::vector<std::string>& dataCentres) const
        -> std::vector<DataCentreConfirmation> override;
    auto wait(std::string document, std::uint64_t version, std::vector<std::string> dataCentres, framework::Milliseconds timeout)
        -> framework::Async<std::vector<DataCentreConfirmation>> override;

    auto recordContact() -> void override { m_core.recordContact(m_services.clock->now()); }
    auto contactAge() const -> framework::Milliseconds override { return m_core.contactAge(m_services.clock->now()); }

    /// Called once a second.
    auto tick() -> void;

    /// Handles an encoded message from a peer; counts it as malformed if it cannot be decoded.
    auto handleMessage(std::string_view payload) -> void;

    /// Returns counters, versions and the number of neighbours for the state dump.
    auto dump() const -> framework::Json;

private:
    auto sendAll(const std::vector<GossipSend>& sends) -> void;
    auto confirmationOf(const std::string& dataCentre, std::uint64_t version, const std::map<std::string, std::uint64_t>& reported) const
        -> DataCentreConfirmation;

    GossipServices m_services;
    GossipCore m_core;
};

} // namespace laburnummill::gossip
