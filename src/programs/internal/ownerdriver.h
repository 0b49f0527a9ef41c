#pragma once

#include "backends/ibackends.h"
#include "calls/icalls.h"
#include "configuration/iconfiguration.h"
#include "coordination/ishards.h"
#include "framework/dump/istatedump.h"
#include "framework/global/asyncqueue.h"
#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/ipeers.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"
#include "programs/internal/heldrecords.h"
#include "programs/internal/programowner.h"

namespace laburnummill::programs {

/// Services that programs depend on.
struct ProgramServices
{
    std::shared_ptr<platform::ITableService> tables;
    std::shared_ptr<platform::IObjectStore> objects;
    std::shared_ptr<calls::ICalls> calls;
    std::shared_ptr<backends::IBackends> backends;
    std::shared_ptr<configuration::IConfiguration> configuration;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<coordination::IShards> shards;
    std::shared_ptr<coordination::IMembership> membership;
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::Metrics> metrics;
};

/// The shard of a program's root, so that sub-agents have the same owner.
auto shardOf(const std::string& program) -> coordination::ShardKey;

/// Executes the actions of this host's ProgramOwner: reads from and writes to the platform, runs calls, sends turn records to
/// peers to hold. Also holds records for peers.
class OwnerDriver final : public std::enable_shared_from_this<OwnerDriver>
{
public:
    OwnerDriver(framework::asio::any_io_executor executor, ProgramServices services);

    /// Registers the handlers for requests of peers and starts the loops. Must be called once.
    auto startLoops() -> void;

    /// Waits until running calls are committed, at most for `timeout`, then stops the loops.
    auto stopLoops(framework::Milliseconds timeout) -> framework::Async<void>;

    auto start(std::string account, std::string program) -> framework::Async<StatusOutcome>;
    auto call(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<calls::CallOutcome>;
    auto status(std::string account, std::string program) -> framework::Async<StatusOutcome>;
    auto end(std::string account, std::string program) -> framework::Async<StatusOutcome>;

    auto dump() const -> framework::Json;

private:
    struct Run
    {
        backends::IPieceSink* sink = nullptr;
        framework::CancellationPtr cancellation;
    };
    using CallQueue = framework::AsyncQueue<calls::CallOutcome>;
    using StatusQueue = framework::AsyncQueue<StatusOutcome>;

    auto moment() const -> Moment;
    auto performAll(Actions actions) -> void;
    auto perform(Action action) -> framework::Async<void>;
    auto load(LoadProgram action) -> framework::Async<void>;
    auto read(LoadProgram action) -> framework::AsyncResult<LoadedProgram>;
    auto collect(const std::string& program, std::uint64_t fencing, std::vector<std::string>& held) -> framework::AsyncResult<void>;
    auto runCall(RunCall action) -> framework::Async<void>;
    auto writeBatch(WriteBatch action) -> framework::Async<void>;
    auto commit(const WriteBatch& batch) -> framework::AsyncResult<std::vector<std::uint64_t>>;
    auto holdRecord(HoldRecord action) -> framework::Async<void>;
    auto dropHeld(const DropHeld& action) -> void;
    auto release(std::string program) -> framework::Async<void>;
    auto awaitStatus(Ticket ticket, Actions actions) -> framework::Async<StatusOutcome>;

    auto serveHoldRequests() -> void;
    auto tickLoop() -> framework::Async<void>;
    auto reconcileLoop() -> framework::Async<void>;
    auto reconcileHeld() -> framework::Async<void>;
    auto reconcileEngine(configuration::BackendServer engine) -> framework::Async<void>;
    auto rowsOf(std::vector<std::string> programs) -> framework::AsyncResult<std::vector<std::optional<ProgramRow>>>;
    auto engines() const -> std::vector<configuration::BackendServer>;
    auto otherMembers() const -> std::vector<coordination::Member>;
    auto updateMetrics() -> void;

    framework::asio::any_io_executor m_executor;
    ProgramServices m_services;
    ProgramOwner m_owner;
    HeldRecords m_held;
    std::map<Ticket, std::shared_ptr<CallQueue>> m_callWaits;
    std::map<Ticket, std::shared_ptr<StatusQueue>> m_statusWaits;
    std::map<Ticket, Run> m_runs;
    Ticket m_nextTicket = 1;
    bool m_running = false;
};

} // namespace laburnummill::programs
