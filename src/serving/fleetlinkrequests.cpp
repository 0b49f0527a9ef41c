#include "serving/fleetlink.h"

#include "framework/logging/log.h"
#include "store/storemessages.h"

#include <algorithm>

// Which hosts to call, and the handling of requests from other hosts.

namespace laburnummill::serving {

namespace {

using framework::Async;
namespace messages = peers::messages;

/// Turns in one response, in bytes; the caller finds further ones in the store.
constexpr auto s_maxTurnBytes = std::size_t{4 * 1024 * 1024};

auto reachesServers(const peers::Peer& peer) -> bool
{
    return peer.last.is_ready() && !peer.last.lacks_servers();
}

} // namespace

auto FleetLink::hostsToCall(const peers::PeerTable::Filter& filter) const -> std::vector<std::string>
{
    auto near = std::vector<std::string>();
    auto far = std::vector<std::string>();
    for (const auto* peer : reachablePeers()) {
        if (filter(*peer) && !peer->last.is_leaving()) {
            (peer->last.data_centre() == m_settings.dataCentre ? near : far).push_back(peer->address);
        }
    }
    for (auto* hosts : {&near, &far}) {
        if (hosts->size() > 1) {
            std::ranges::rotate(*hosts, hosts->begin() + static_cast<std::ptrdiff_t>(m_sequence % hosts->size()));
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

auto FleetLink::storeProxies() const -> std::vector<std::string>
{
    return hostsToCall([](const peers::Peer& peer) { return peer.last.reaches_store(); });
}

auto FleetLink::serverRelays() const -> std::vector<std::string>
{
    return hostsToCall(reachesServers);
}

auto FleetLink::isServerRelay(std::string_view address) const -> bool
{
    const auto* peer = m_table.reachablePeer(address, m_clock.now());
    return peer != nullptr && reachesServers(*peer) && !peer->last.is_leaving() && !m_suspects.contains(address);
}

auto FleetLink::connectForPeer(messages::RelayQuery query) -> Async<peers::SocketPtr>
{
    const auto& backends = m_state.fleetState.backends();
    const auto backend = backends.find(query.server());
    const auto endpoint = backend ? peers::parseEndpoint(backend->entry.address) : std::nullopt;
    // A relayed connection may outlast a host that is leaving.
    const auto isUsable = !m_isLeaving && endpoint && backend->entry.startedAt == query.started_at() && !backend->leave->isLeaving() &&
                          !backends.isDrained(backend->entry.dataCentre) && !m_state.connector->isCutOff();
    const auto socket = isUsable ? co_await m_state.connector->connectForPeer(*endpoint) : nullptr;
    m_metrics.count("connections_relayed_for_hosts", {{"outcome", !isUsable ? "refused" : socket ? "open" : "failed"}});
    co_return socket;
}

auto FleetLink::onRequest(messages::Request request) -> Async<messages::Response>
{
    auto response = messages::Response();
    response.set_incarnation(m_incarnation);
    switch (request.body_case()) {
    case messages::Request::kTransaction:
    case messages::Request::kListing:
        co_return co_await answerStoreCall(request);
    case messages::Request::kChanges:
        co_return answerChanges(request.changes());
    case messages::Request::kTurnQuery:
        addTurns(request.turn_query(), response);
        break;
    case messages::Request::kEndedTurn: {
        const auto& ended = request.ended_turn();
        const auto key = programs::ProgramKey{.account = ended.account(), .program = ended.program()};
        if (ended.cancelled_transfer() != 0) {
            m_state.budgets->cancelTransfer(key, ended.cancelled_transfer());
            break;
        }
        m_state.budgets->acceptReturnedTokens(key, ended.returned_tokens());
        m_state.journal->cacheTurn(ended.record());
        break;
    }
    case messages::Request::kKeptTurns: {
        const auto& kept = request.kept_turns();
        response.set_is_copy_declined(
            !m_state.journal->holdReplicas(kept.origin(), kept.origin_incarnation(), {kept.records().begin(), kept.records().end()}));
        break;
    }
    case messages::Request::kGrantQuery: {
        const auto& query = request.grant_query();
        const auto replicated = m_state.journal->replicaTokens({.account = query.account(), .program = query.program()});
        response = co_await m_state.budgets->answer(query, replicated);
        response.set_incarnation(m_incarnation);
        response.set_membership(static_cast<std::uint32_t>(membershipSize()));
        break;
    }
    case messages::Request::kRelayQuery: // Changes what the connection carries, so that the transport handles it.
    case messages::Request::BODY_NOT_SET:
        framework::logEvent(framework::LogLevel::Warning, "peers", "request_unknown");
        break;
    }
    co_return response;
}

auto FleetLink::addTurns(const messages::TurnQuery& query, messages::Response& response) const -> void
{
    auto bytes = std::size_t{0};
    for (const auto& id : query.ids()) {
        const auto turn = m_state.journal->findLocal(id);
        auto record = turn ? programs::encodeTurn(*turn) : std::string();
        bytes += record.size();
        if (turn && (response.turns_size() == 0 || bytes <= s_maxTurnBytes)) {
            response.add_turns(std::move(record));
        }
    }
}

auto FleetLink::answerStoreCall(const messages::Request& request) -> Async<messages::Response>
{
    auto response = messages::Response();
    const auto setError = [&response](const std::error_code& error) {
        response.set_store_error(static_cast<std::uint32_t>(error.value()));
    };
    m_metrics.count("store_calls_for_peers");
    if (request.has_transaction()) {
        auto transaction = store::fromMessage(request.transaction());
        const auto reply = co_await (request.transaction().is_grouped() ? m_state.groupedStore->commitInGroup(std::move(transaction))
                                                                        : m_state.directStore.transact(std::move(transaction)));
        if (!reply) {
            setError(reply.error());
            co_return response;
        }
        response.set_is_applied(reply.value().isApplied);
        response.set_version(reply.value().version);
        for (const auto& row : reply.value().currentRows) {
            *response.add_rows() = store::toMessage(row);
        }
        co_return response;
    }
    const auto page = co_await m_state.directStore.list(store::fromMessage(request.listing()));
    if (!page) {
        setError(page.error());
        co_return response;
    }
    response.set_version(page.value().version);
    response.set_has_more(page.value().hasMore);
    for (const auto& row : page.value().rows) {
        *response.add_rows() = store::toMessage(row);
    }
    co_return response;
}

auto FleetLink::answerChanges(const messages::Changes& changes) const -> messages::Response
{
    auto response = messages::Response();
    const auto& copy = changes.table() == s_operatorTableName ? m_state.fleetState.operatorTable() : m_state.fleetState.backendTable();
    for (const auto& row : copy.changedAfter(changes.after())) {
        *response.add_rows() = store::toMessage(row);
    }
    return response;
}

} // namespace laburnummill::serving
