#pragma once

#include "framework/global/systemclock.h"
#include "serving/callerconnection.h"
#include "serving/fleetlink.h"
#include "serving/statusport.h"
#include "serving/storefollower.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <memory>
#include <set>

namespace laburnummill::serving {

/// The outside of a host: how the platform's store, callers and backend servers are spoken to.
struct Outside
{
    store::IStore& store;
    store::IChangeFeed& feed;
    const IRowDecoder& rows;
    const IWire& wire;
};

/// One entry host: all parts, wired.
class EntryHost
{
public:
    EntryHost(framework::asio::io_context& context, HostSettings settings, framework::Metrics& metrics, const Outside& outside);

    auto start() -> void;

    /// Takes no new callers, ends what is under way, then stops the context.
    auto stop() -> void;

    /// Whether the balancer should send callers here.
    auto isReady() const -> bool;

    /// Hosts that are heard, this one included.
    auto hostsHeard() const -> int { return 1 + static_cast<int>(m_link.reachableHosts().size()); }

    /// Takes changed settings up as far as that needs no restart.
    auto reload(HostSettings settings) -> void;

private:
    auto acceptLoop() -> framework::Async<void>;
    auto upkeepLoop() -> framework::Async<void>;
    /// Writes what the store missed while it was away.
    auto catchUp() -> framework::Async<void>;
    auto logLoop() -> framework::Async<void>;
    auto announce() -> framework::Async<void>;
    auto stopping() -> framework::Async<void>;
    auto applyLimits() -> void;
    auto closeIdleCallers() -> void;
    auto describe(std::string_view path) const -> StatusAnswer;
    auto setGauges() const -> void;
    auto logFigures() const -> void;

    framework::asio::io_context& m_context;
    HostSettings m_settings;
    framework::SystemClock m_clock;
    framework::Metrics& m_metrics;
    std::uint64_t m_incarnation;
    FleetKnowledge m_knowledge;
    accounts::FleetLimiter m_limiter;
    Quarantine m_quarantine;
    SharedState m_shared;
    FleetLink m_link;
    store::RoutedStore m_store;
    programs::ProgramTable m_programs;
    programs::TurnJournal m_journal;
    programs::BudgetLedger m_budgets;
    StoreFollower m_follower;
    scheduling::BackendChoice m_choice;
    scheduling::Admission m_admission;
    LatencyBook m_latencies;
    BackendConnections m_connections;
    Exchange m_exchange;
    ServingParts m_parts;
    CallerSide m_callerSide;
    framework::asio::ip::tcp::acceptor m_acceptor;
    StatusPort m_readyPort;
    std::unique_ptr<StatusPort> m_metricsPort;
    std::list<std::weak_ptr<CallerConnection>> m_callers;
    std::int64_t m_limitsVersion = -1;
    bool m_isCatchingUp = false;
    bool m_isStopping = false;
};

} // namespace laburnummill::serving
