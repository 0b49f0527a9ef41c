#pragma once

#include "scheduling/internal/dispatcherhost.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnummill::scheduling {

/// How a request for a permit ended.
struct PermitOutcome
{
    enum class Kind
    {
        Granted,
        Refused,
        Overflowed,
    };

    Kind kind = Kind::Refused;
    OpenPermit permit;
    std::uint64_t fencing = 0;
    SchedulingError error = SchedulingError::DispatcherUnreachable;
    std::string dataCentre;
};

/// This host's executor towards one pool's dispatcher in one data centre: one exchange that carries many requests, opened anew
/// when the dispatcher changes.
class ExecutorLink final : public std::enable_shared_from_this<ExecutorLink>
{
public:
    ExecutorLink(framework::asio::any_io_executor executor, SchedulingServices services, std::shared_ptr<DispatcherHost> host,
                 coordination::ShardKey shard);

    /// Asks for a permit and waits for the answer until the need's deadline.
    auto requestPermit(ScheduledCall call) -> framework::Async<PermitOutcome>;

    auto release(std::uint64_t number, const PermitUse& use) -> void;

    /// Follows a change of owners.
    auto tick() -> void;

    /// What this host holds, for a dispatcher that begins.
    auto hello() const -> HelloMessage;

private:
    struct Pending
    {
        ScheduledCall call;
        std::shared_ptr<framework::asio::steady_timer> wake;
        std::optional<PermitOutcome> outcome;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    auto connect(const coordination::Ownership& ownership) -> void;
    auto readLoop(std::shared_ptr<framework::IPeerExchange> exchange, std::uint64_t epoch) -> framework::Async<void>;
    auto resubmitPending() -> void;
    auto disconnect(std::uint64_t epoch) -> void;
    auto send(const ToDispatcher& message) -> void;
    auto handleMessage(const ToExecutor& message, std::uint64_t epoch) -> void;
    auto sendSubmit(const ScheduledCall& call) -> void;

    framework::asio::any_io_executor m_executor;
    SchedulingServices m_services;
    std::shared_ptr<DispatcherHost> m_host;
    coordination::ShardKey m_shard;
    std::uint64_t m_holder;
    std::map<std::uint64_t, PendingPtr> m_pending;
    std::map<std::uint64_t, OpenPermit> m_openPermits;
    std::shared_ptr<framework::IPeerExchange> m_exchange;
    std::optional<coordination::MemberId> m_owner;
    bool m_isConnected = false;
    std::uint64_t m_epoch = 0; ///< messages of an earlier link are ignored
};

} // namespace laburnummill::scheduling
