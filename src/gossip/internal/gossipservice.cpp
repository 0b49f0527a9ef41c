#include "gossip/internal/gossipservice.h"

#include "framework/global/asyncqueue.h"
#include "gossip/internal/gossipcodec.h"

#include <algorithm>

namespace laburnummill::gossip {

using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_topic = std::string_view("gossip");
constexpr auto s_confirmationPollInterval = Milliseconds(50);

auto toPeer(const coordination::Member& member) -> GossipPeer
{
    return {member.id.host, member.dataCentre, member.address};
}

auto isConfirmed(const DataCentreConfirmation& confirmation) -> bool
{
    return confirmation.state == ConfirmationState::Confirmed;
}

} // namespace

GossipService::GossipService(GossipServices services, std::vector<framework::Endpoint> seeds, std::uint64_t seed)
    : m_services(std::move(services))
    , m_core(toPeer(m_services.membership->self()), m_services.membership->self().id.incarnation, seed)
{
    m_core.setSeeds(std::move(seeds));
}

auto GossipService::addDocument(std::string name, DocumentHooks hooks) -> void
{
    m_core.addDocument(std::move(name), std::move(hooks));
}

auto GossipService::sendAll(const std::vector<GossipSend>& sends) -> void
{
    for (const auto& [to, message] : sends) {
        auto payload = encode(message);
        m_services.metrics->count("gossip_messages_sent_total");
        m_services.metrics->count("gossip_bytes_sent_total", {}, payload.size());
        m_services.peers->send(to, s_topic, std::move(payload));
    }
}

auto GossipService::push(std::string_view name) -> void
{
    sendAll(m_core.push(name, m_services.clock->now()));
}

auto GossipService::reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t>
{
    return m_core.reportedVersions(name);
}

auto GossipService::tick() -> void
{
    const auto& membership = *m_services.membership;
    auto peers = std::vector<GossipPeer>();
    for (const auto& dataCentre : membership.dataCentres()) {
        std::ranges::transform(membership.members(dataCentre), std::back_inserter(peers), toPeer);
    }
    m_core.setPeers(peers);
    sendAll(m_core.tick(m_services.clock->now()));
    m_services.metrics->setGauge("gossip_neighbours", static_cast<double>(m_core.neighbours()));
}

auto GossipService::handleMessage(std::string_view payload) -> void
{
    const auto message = decode(payload);
    if (!message) {
        m_services.metrics->count("gossip_malformed_total");
        return;
    }
    m_services.metrics->count("gossip_messages_taken_total");
    m_services.metrics->count("gossip_bytes_taken_total", {}, payload.size());
    sendAll(m_core.handleMessage(*message, m_services.clock->now()));
}

auto GossipService::confirmationOf(const std::string& dataCentre, std::uint64_t version,
                                   const std::map<std::string, std::uint64_t>& reported) const -> DataCentreConfirmation
{
    auto confirmation = DataCentreConfirmation{dataCentre, ConfirmationState::Unreachable, 0, 0};
    for (const auto& member : m_services.membership->members(dataCentre)) {
        ++confirmation.hostsKnown;
        const auto found = reported.find(member.id.host);
        if (found != reported.end() && found->second >= version) {
            ++confirmation.hostsConfirmed;
        }
    }
    if (confirmation.hostsConfirmed > 0) {
        const auto all = confirmation.hostsConfirmed == confirmation.hostsKnown;
        confirmation.state = all ? ConfirmationState::Confirmed : ConfirmationState::Partial;
    }
    return confirmation;
}

auto GossipService::state(std::string_view document, std::uint64_t version, const std::vector<std::string>& dataCentres) const
    -> std::vector<DataCentreConfirmation>
{
    const auto reported = m_core.reportedVersions(document);
    auto confirmations = std::vector<DataCentreConfirmation>();
    for (const auto& dataCentre : dataCentres) {
        confirmations.push_back(confirmationOf(dataCentre, version, reported));
    }
    return confirmations;
}

auto GossipService::wait(std::string document, std::uint64_t version, std::vector<std::string> dataCentres, Milliseconds timeout)
    -> framework::Async<std::vector<DataCentreConfirmation>>
{
    const auto deadline = m_services.clock->now() + timeout;
    auto confirmations = state(document, version, dataCentres);
    while (!std::ranges::all_of(confirmations, isConfirmed) && m_services.clock->now() < deadline) {
        co_await framework::sleepFor(s_confirmationPollInterval);
        confirmations = state(document, version, dataCentres);
    }
    co_return confirmations;
}

auto GossipService::dump() const -> Json
{
    const auto& counts = m_core.counts();
    auto versions = Json::object();
    for (const auto& [name, version] : m_core.versions()) {
        versions[name] = version;
    }
    return {
        {"versions", versions},
        {"neighbours", m_core.neighbours()},
        {"contactAgeMs", contactAge().count()},
        {"messagesSent", counts.messagesSent},
        {"messagesTaken", counts.messagesReceived},
        {"documentsSent", counts.documentsSent},
        {"documentsTaken", counts.documentsReceived},
        {"versionFalls", counts.versionRegressions},
    };
}

} // namespace laburnummill::gossip
