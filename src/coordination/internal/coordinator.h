#pragma once

#include "coordination/internal/participant.h"
#include "coordination/internal/viewstore.h"
#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/ipeers.h"
#include "platform/ihostlist.h"

namespace laburnummill::coordination {

/// Services that the coordinator uses.
struct CoordinatorServices
{
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<framework::Metrics> metrics;
    std::shared_ptr<platform::ITableService> tables;
    std::shared_ptr<platform::IHostList> hosts;
};

/// Drives the daemon's participant: passes it ticks, messages and results of store requests, and performs its actions.
class Coordinator final : public IShards, public IMembership, public std::enable_shared_from_this<Coordinator>
{
public:
    Coordinator(framework::asio::any_io_executor executor, Member self, std::vector<framework::Endpoint> seeds,
                CoordinatorServices services);

    /// Subscribes to messages from peers.
    auto listen() -> void;

    /// Ticks the participant until stop().
    auto run() -> framework::Async<void>;

    /// Polls the platform's list of hosts until stop().
    auto watchHosts() -> framework::Async<void>;

    /// Gives up the lease, leaves the view and waits for a view without this member, at most 1 s.
    auto stop() -> framework::Async<void>;

    auto ownerOf(const ShardKey& shard) const -> framework::Result<Ownership> override;
    auto mayAct(const ShardKey& shard) const -> framework::Result<std::uint64_t> override;
    auto self() const -> const Member& override { return m_participant->self(); }
    auto members(std::string_view dataCentre) const -> std::vector<Member> override;
    auto dataCentres() const -> std::vector<std::string> override { return m_participant->dataCentres(); }
    auto isAlive(const MemberId& member) const -> bool override { return m_participant->isAlive(member); }
    auto hasJoined() const -> bool override { return m_hasJoined; }
    auto onChange(std::function<void()> handler) -> void override { m_handlers.push_back(std::move(handler)); }

    auto dump() const -> framework::Json;

private:
    auto perform(Actions actions) -> void;
    auto performStoreAction(Action action) -> framework::Async<void>;
    auto reportChanges() -> void;

    framework::asio::any_io_executor m_executor;
    CoordinatorServices m_services;
    ProtocolRules m_rules;
    std::unique_ptr<Participant> m_participant; ///< not null; a pointer because const functions count violations in it
    ViewStore m_store;
    std::map<std::string, std::uint64_t> m_reportedViewNumbers; ///< by data centre, at the last call of the handlers
    std::set<MemberId> m_reportedFencedMembers;
    bool m_hasJoined = false;
    bool m_hadLease = false;
    bool m_isRunning = true;
    std::vector<std::function<void()>> m_handlers;
};

} // namespace laburnummill::coordination
