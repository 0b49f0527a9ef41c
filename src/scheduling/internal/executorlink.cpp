#include "scheduling/internal/executorlink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnummill::scheduling {

using framework::Async;

namespace {

constexpr auto s_dispatchTopic = std::string_view("scheduling.dispatch");

} // namespace

ExecutorLink::ExecutorLink(framework::asio::any_io_executor executor, SchedulingServices services, std::shared_ptr<DispatcherHost> host,
                           coordination::ShardKey shard)
    : m_executor(std::move(executor))
    , m_services(std::move(services))
    , m_host(std::move(host))
    , m_shard(std::move(shard))
    , m_holder(holderOf(m_services.membership->self().id.host, m_services.membership->self().id.incarnation))
{}

auto ExecutorLink::hello() const -> HelloMessage
{
    const auto& self = m_services.membership->self().id;
    auto message = HelloMessage();
    message.set_pool(m_shard.name);
    message.set_host(self.host);
    message.set_incarnation(self.incarnation);
    for (const auto& [number, permit] : m_openPermits) {
        *message.add_permits() = toMessage(permit, 0, m_services.clock->now());
    }
    return message;
}

auto ExecutorLink::tick() -> void
{
    const auto ownership = m_services.shards->ownerOf(m_shard);
    if (!ownership) {
        return;
    }
    const auto changed = m_owner != ownership.value().owner.id;
    if (changed || !m_isConnected) {
        disconnect(m_epoch);
        connect(ownership.value());
    }
}

auto ExecutorLink::connect(const coordination::Ownership& ownership) -> void
{
    const auto epoch = ++m_epoch;
    m_owner = ownership.owner.id;
    if (ownership.isSelf) {
        const auto weak = weak_from_this();
        m_isConnected = m_host->attach(hello(), [this, weak, epoch](const ToExecutor& message) {
            if (const auto self = weak.lock()) {
                boost::asio::post(m_executor, [self, message, epoch] { self->handleMessage(message, epoch); });
            }
        });
    } else {
        auto first = ToDispatcher();
        *first.mutable_hello() = hello();
        m_exchange = m_services.peers->open(ownership.owner.address, s_dispatchTopic, first.SerializeAsString());
        m_isConnected = true;
        boost::asio::co_spawn(m_executor, readLoop(m_exchange, epoch), boost::asio::detached);
    }
    resubmitPending();
}

auto ExecutorLink::resubmitPending() -> void
{
    if (!m_isConnected) {
        return;
    }
    for (const auto& [number, pending] : m_pending) {
        if (!pending->outcome) {
            sendSubmit(pending->call);
        }
    }
}

auto ExecutorLink::disconnect(std::uint64_t epoch) -> void
{
    if (epoch != m_epoch) {
        return;
    }
    ++m_epoch;
    m_isConnected = false;
    if (m_exchange) {
        m_exchange->cancel();
        m_exchange.reset();
    }
}

auto ExecutorLink::readLoop(std::shared_ptr<framework::IPeerExchange> exchange, std::uint64_t epoch) -> Async<void>
{
    const auto self = shared_from_this();
    while (true) {
        const auto text = co_await exchange->read();
        auto message = ToExecutor();
        if (!text || !text.value() || !message.ParseFromString(*text.value())) {
            disconnect(epoch);
            co_return;
        }
        handleMessage(message, epoch);
    }
}

auto ExecutorLink::send(const ToDispatcher& message) -> void
{
    if (!m_isConnected) {
        return;
    }
    if (m_exchange) {
        m_exchange->write(message.SerializeAsString());
    } else {
        m_host->handleMessage(m_shard.name, m_holder, message);
    }
}

auto ExecutorLink::sendSubmit(const ScheduledCall& call) -> void
{
    auto message = ToDispatcher();
    *message.mutable_submit() = toMessage(call, m_services.clock->now());
    send(message);
}

auto ExecutorLink::handleMessage(const ToExecutor& message, std::uint64_t epoch) -> void
{
    if (epoch != m_epoch) {
        return;
    }
    auto outcome = PermitOutcome();
    auto number = std::uint64_t{0};
    if (message.has_granted()) {
        outcome.kind = PermitOutcome::Kind::Granted;
        outcome.permit = permitOf(message.granted(), m_holder, m_services.clock->now());
        outcome.fencing = message.granted().fencing();
        number = outcome.permit.call.key.number;
    } else if (message.has_refused()) {
        outcome.error = static_cast<SchedulingError>(message.refused().error());
        number = message.refused().number();
    } else {
        outcome.kind = PermitOutcome::Kind::Overflowed;
        outcome.dataCentre = message.spilled().data_centre();
        number = message.spilled().number();
    }
    const auto found = m_pending.find(number);
    if (found == m_pending.end() || found->second->outcome) {
        // NOTE The call has already ended; its cancellation has been sent to the dispatcher.
        return;
    }
    if (outcome.kind == PermitOutcome::Kind::Granted) {
        m_openPermits[number] = outcome.permit;
    }
    found->second->outcome = std::move(outcome);
    found->second->wake->cancel();
}

auto ExecutorLink::requestPermit(ScheduledCall call) -> Async<PermitOutcome>
{
    const auto self = shared_from_this();
    const auto number = call.key.number;
    call.key.holder = m_holder;
    const auto remaining = std::max(call.deadline - m_services.clock->now(), framework::Microseconds(1));
    auto pending = std::make_shared<Pending>();
    pending->wake = std::make_shared<framework::asio::steady_timer>(m_executor, remaining);
    pending->call = std::move(call);
    m_pending[number] = pending;
    if (m_isConnected) {
        sendSubmit(pending->call);
    } else {
        tick();
    }
    if (!pending->outcome) {
        auto ignored = boost::system::error_code();
        co_await pending->wake->async_wait(framework::asio::redirect_error(framework::asio::use_awaitable, ignored));
    }
    m_pending.erase(number);
    if (pending->outcome) {
        co_return std::move(*pending->outcome);
    }
    auto cancel = ToDispatcher();
    cancel.set_cancel(number);
    send(cancel);
    auto outcome = PermitOutcome();
    outcome.error = m_isConnected ? SchedulingError::DeadlineExceeded : SchedulingError::DispatcherUnreachable;
    co_return outcome;
}

auto ExecutorLink::release(std::uint64_t number, const PermitUse& use) -> void
{
    m_openPermits.erase(number);
    auto message = ToDispatcher();
    *message.mutable_release() = toMessage(number, use);
    send(message);
}

} // namespace laburnummill::scheduling
