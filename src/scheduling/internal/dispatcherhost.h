#pragma once

#include "backends/ibackends.h"
#include "configuration/iconfiguration.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/rpc/ipeers.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/schedulingcodec.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnummill::scheduling {

/// Services of other modules that scheduling uses.
struct SchedulingServices
{
    std::shared_ptr<configuration::IConfiguration> configuration;
    std::shared_ptr<coordination::IShards> shards;
    std::shared_ptr<coordination::IMembership> membership;
    std::shared_ptr<backends::IBackends> backends;
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
};

/// Runs the dispatchers of the pools that this host owns in its data centre: starts and stops them when ownership changes,
/// polls engines for their load and transfers messages between dispatchers and executors.
class DispatcherHost final : public std::enable_shared_from_this<DispatcherHost>
{
public:
    using SendFunction = std::function<void(const ToExecutor&)>;

    DispatcherHost(framework::asio::any_io_executor executor, SchedulingServices services);

    /// Registers the handlers for messages of executors and dispatchers on other hosts.
    auto serve() -> void;

    /// Opens a link to an executor, which replaces the executor's earlier link. Returns false if this host has no dispatcher for
    /// the pool.
    auto attach(const HelloMessage& hello, SendFunction send) -> bool;

    /// Processes a message of an attached executor.
    auto handleMessage(const std::string& pool, std::uint64_t holder, const ToDispatcher& message) -> void;

    /// Starts and stops dispatchers as ownership changes and runs their periodic work.
    auto tick() -> void;

    auto dump() const -> framework::Json;

private:
    struct PoolState
    {
        std::string pool;
        std::unique_ptr<Dispatcher> dispatcher;
        std::uint64_t fencing = 0;
        std::uint64_t configurationVersion = 0;
        std::map<std::uint64_t, SendFunction> links;
        std::map<std::uint64_t, coordination::MemberId> holders;
        std::map<std::string, std::uint64_t> cacheSequences; ///< by engine
        std::map<std::string, PeerDispatcher> peerDispatchers;
        std::map<std::string, framework::Instant> peerLoadReceivedAt;
        std::map<std::string, framework::Instant> enginePolledAt;
        framework::Instant loadAnnouncedAt;
    };
    using PoolStatePtr = std::shared_ptr<PoolState>;

    auto shardOf(const std::string& pool) const -> coordination::ShardKey;
    auto startDispatcher(const configuration::Configuration& configuration, const std::string& pool, std::uint64_t fencing) -> void;
    auto tickPool(const PoolStatePtr& state) -> void;
    auto configure(PoolState& state, const configuration::Configuration& configuration) -> void;
    auto collectOpenPermits(PoolStatePtr state) -> framework::Async<void>;
    auto pollEngine(PoolStatePtr state, configuration::BackendServer server) -> framework::Async<void>;
    auto pollCacheEvents(PoolStatePtr state, configuration::BackendServer server) -> framework::Async<void>;
    auto removeDeadHolders(PoolState& state) -> void;
    auto announceLoad(PoolState& state) -> void;
    auto handleLoad(const LoadMessage& message) -> void;
    auto deliverActions(PoolState& state) -> void;

    framework::asio::any_io_executor m_executor;
    SchedulingServices m_services;
    std::string m_dataCentre;
    std::map<std::string, PoolStatePtr> m_pools;
};

} // namespace laburnummill::scheduling
