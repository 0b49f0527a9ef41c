#pragma once

#include "scheduling/internal/dispatcherhost.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnummill::scheduling {

/// The outcome of a request for a permit.
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

/// Connects this host's executor to one pool's dispatcher in one data centre. All requests share one exchange,
/// which is opened again when the dispatcher moves to another host.
class ExecutorLink final : public std::enable_shared_from_this<ExecutorLink>
{
public:
    ExecutorLink(framework::asio::any_io_executor executor, SchedulingServices services, std::shared_ptr<DispatcherHost> host,
                 coordination::ShardKey shard);

    /// Requests a permit and waits for the response until the call's deadline.
    auto requestPermit(ScheduledCall call) -> framework::Async<PermitOutcome>;

    /// Ends the permit of call `number`.
    auto release(std::uint64_t number, const PermitUse& use) -> void;

    /// Reconnects after the pool's owner changed or the connection was lost.
    auto tick() -> void;

    /// The permits that this host holds, for a new dispatcher.
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
    std::uint64_t m_epoch = 0; ///< identifies the current connection; messages of earlier ones are ignored
};

} // namespace laburnummill::scheduling
