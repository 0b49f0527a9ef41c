#pragma once

#include "framework/metrics/metrics.h"
#include "peers/ipeers.h"
#include "peers/peertable.h"
#include "rollouts/rolloutplan.h"
#include "rollouts/versionfilter.h"
#include "serving/fleetstate.h"
#include "store/istore.h"

#include <map>

namespace laburnummill::serving {

/// Carries out the operator's rollouts together with the other hosts. The state of a rollout is a row in the store that any host may move
/// to the next stage, each write under the condition that the row is unchanged; a service's home host goes first. Hosts pass the state and
/// the counts of responses on in their heartbeats. What a host may send follows from the newest state it knows, whether it
/// reaches the store or not.
class RolloutControl
{
public:
    RolloutControl(framework::asio::any_io_executor executor, FleetState& fleetState, const IRowDecoder& rows, store::IStore& store,
                   const peers::IPeers& peers, const framework::IClock& clock, framework::Metrics& metrics, bool areRolloutsOffered);

    /// The servers of `service` that a chain of turns, or a request by itself, may use.
    auto allowed(const std::string& service, const std::vector<backends::BackendPtr>& servers, std::string_view chain, bool isRetry)
        -> std::vector<backends::BackendPtr>;

    /// Records a response of a server; `slowness` is the ratio of its duration to the usual, 0 if unknown.
    auto recordResponse(const backends::Backend& server, std::string_view route, bool isFailure, double slowness) -> void;

    /// Takes the latest reports of the other hosts and moves rollouts on.
    auto update(const peers::PeerTable& peers) -> void;

    /// Adds what this host reports to the others.
    auto addTo(peers::messages::Heartbeat& heartbeat) const -> void;

private:
    /// Time after which another host than the home host acts.
    static constexpr auto s_standInDelay = framework::Milliseconds(1'200);

    struct Rollout
    {
        rollouts::RolloutOrder order;
        std::optional<rollouts::RolloutProgress> progress; ///< nullopt until the row was read or reported
        std::uint64_t newestRowVersion = 0;                ///< of all states that became known, also of earlier orders
        rollouts::VersionFilter filter;
        rollouts::VersionEvidence evidence;
        rollouts::OutcomeCounts counts; ///< of this host
        framework::Instant orderedAt{};
        framework::Instant stageSince{};
        framework::Instant oldVersionBusyAt{};
        framework::Instant changeDueSince{};  ///< when the next stage became due, while it is
        framework::Instant refusalDueSince{}; ///< of a second order
        bool isWithdrawn = false;
        bool isWriting = false;
    };

    auto observeServers(const std::string& service, rollouts::VersionFilter& filter) -> void;
    /// The rollout of `service`, a new one if there is none.
    auto rolloutOf(const std::string& service) -> Rollout&;
    auto applyOrders() -> void;
    auto begin(const std::string& service, Rollout& rollout, const rollouts::RolloutOrder& order) -> void;
    auto takeReports(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> void;
    auto adopt(const std::string& service, Rollout& rollout, const rollouts::RolloutProgress& progress, std::string_view source) -> void;
    /// This host's requests use the new version no more.
    auto stopNewVersion(Rollout& rollout) -> void;
    /// Whether requests run at the old version, or a host may still send some there.
    auto mayOldVersionBeUsed(const std::string& service, const Rollout& rollout, const peers::PeerTable& peers) const -> bool;
    auto viewOf(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> rollouts::RolloutView;
    auto advance(const std::string& service, Rollout& rollout, const peers::PeerTable& peers) -> void;
    /// Whether it is this host's turn to write: the home host's at once, that of the others if the home host has not acted in time.
    auto isDue(const std::string& service, framework::Instant& dueSince, framework::Milliseconds delay) const -> bool;
    auto write(std::string service, rollouts::RolloutProgress next) -> framework::Async<void>;
    auto readRow(std::string service) -> framework::Async<void>;
    /// Reads the rollouts of all services, also of those whose order was removed while no host ran.
    auto readAllRows() -> framework::Async<void>;
    auto setGauges(const std::string& service, const Rollout& rollout) const -> void;

    framework::asio::any_io_executor m_executor;
    FleetState& m_fleetState;
    const IRowDecoder& m_rows;
    store::IStore& m_store;
    const peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    framework::Metrics& m_metrics;
    bool m_areRolloutsOffered;
    bool m_areRowsRead = false;
    bool m_isReadingRows = false;
    framework::Instant m_updatedAt{};
    std::map<std::string, Rollout> m_rollouts;                ///< by service
    std::map<std::string, rollouts::VersionFilter> m_filters; ///< of services without an order
};

} // namespace laburnummill::serving
