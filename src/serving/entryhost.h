#pragma once

#include "framework/global/responsiveclock.h"
#include "framework/global/systemclock.h"
#include "serving/callerconnections.h"
#include "serving/fleetlink.h"
#include "serving/statusserver.h"
#include "serving/storewatcher.h"
#include "store/returnprobe.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>

namespace laburnummill::serving {

/// Adapters that a host uses to communicate with the platform's store, callers and backend servers.
struct ExternalInterfaces
{
    store::IStore& store;
    store::IChangeFeed& feed;
    const IRowDecoder& rows;
    const IWireCodec& wire;
    IServerDialer* dialer = nullptr;       ///< null: the host connects directly
    store::IStore* patientStore = nullptr; ///< `store` with longer time-outs, used while it is slow; null: `store` is used
    std::optional<peers::PeerSockets> peerSockets = std::nullopt; ///< bound to the peer address of the settings; bound by the host if null
};

/// Why a host has ended.
enum class HostEnd
{
    Stopped,            ///< it was asked to
    AddressUnavailable, ///< it could not listen on one of its addresses
};

/// An entry host: creates and connects all its components.
class EntryHost
{
public:
    EntryHost(framework::asio::io_context& context, HostSettings settings, framework::Metrics& metrics, ExternalInterfaces external);

    /// Listens on its addresses, as soon as they are free, and starts all loops.
    auto start() -> void;

    /// Announces that this host leaves, completes what it has accepted, then stops the context.
    auto stop() -> void;

    /// Why the context was stopped.
    auto end() const -> HostEnd { return m_end; }

    /// Whether the load balancer should send callers to this host.
    auto isReady() const -> bool;

    /// Number of reachable hosts, including this one.
    auto reachableHostCount() const -> int { return 1 + static_cast<int>(m_link.reachableHosts().size()); }

    /// Applies those changed settings that need no restart.
    auto reload(HostSettings settings) -> void;

private:
    /// Stops the context if an address cannot be listened on.
    auto openReadiness() -> framework::Async<void>;
    auto openCallers() -> framework::Async<void>;
    auto openMetrics() -> framework::Async<void>;
    auto endUnavailable(const std::string& address, const boost::system::error_code& error) -> void;
    /// Reports since the last call that memory or connections were denied.
    auto logDenials() -> void;
    auto maintenanceLoop() -> framework::Async<void>;
    /// Writes the records to the store that could not be written while it was unreachable.
    auto flushToStore() -> framework::Async<void>;
    static auto logLoop() -> framework::Async<void>;
    /// Makes this host known in the store, and other hosts known to this one.
    auto announce() -> framework::Async<void>;
    auto drainAndStop() -> framework::Async<void>;
    /// Whether the store has everything that this host holds, and no requests or transfers are in progress.
    auto isDrained() const -> bool;
    /// Records that this host ends with everything stored.
    auto depart() -> framework::Async<void>;
    /// What a stopping host still waits for.
    auto stopWaitReason(bool haveBalancersNoticed, bool areCallersClosed) const -> std::string_view;
    auto logStop(std::string_view event, framework::Instant startedAt, framework::Json fields) const -> void;
    auto applyLimits() -> void;
    /// Called by a timer with the period of the responsive clock.
    auto tick() -> void;
    auto statusResponse(std::string_view path) const -> StatusResponse;
    auto setGauges() const -> void;
    auto logMetrics() const -> void;

    framework::asio::io_context& m_context;
    HostSettings m_settings;
    framework::SystemClock m_clock;
    framework::ResponsiveClock m_responsiveClock;
    framework::Metrics& m_metrics;
    scheduling::BufferMemory m_bufferMemory;
    std::uint64_t m_incarnation;
    FleetState m_fleetState;
    accounts::FleetLimiter m_limiter;
    scheduling::CrashHistory m_crashes;
    ServerLimits m_serverLimits;
    OverloadMonitor m_overload;
    ShutdownSchedule m_shutdown;
    SharedState m_shared;
    FleetLink m_link;
    store::StoreHealth m_storeHealth{m_responsiveClock};
    store::RoutedStore m_routedStore;
    store::GroupedStore m_store;
    store::ReturnProbe m_returnProbe;
    programs::ProgramTable m_programs;
    programs::HostRegister m_register;
    programs::TurnJournal m_journal;
    programs::BudgetLedger m_budgets;
    StoreWatcher m_storeWatcher;
    RolloutControl m_rollouts;
    scheduling::BackendChoice m_choice;
    scheduling::Admission m_admission;
    LatencyTracker m_latencies;
    DirectDialer m_directDialer;
    ServerConnector m_connector;
    BackendConnectionPool m_connections;
    BackendClient m_backendClient;
    LoadProbes m_loadProbes;
    ServingContext m_servingContext;
    CallerContext m_callerContext;
    CallerConnections m_callers;
    StatusServer m_readinessServer;
    std::unique_ptr<StatusServer> m_metricsServer;
    std::int64_t m_limitsVersion = -1;
    framework::WorkCount m_flushes;
    std::uint64_t m_loggedDenials = 0;
    std::uint64_t m_loggedRejections = 0;
    HostEnd m_end = HostEnd::Stopped;
};

} // namespace laburnummill::serving
