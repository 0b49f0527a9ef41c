#include "coordination/internal/coordinator.h"

#include "coordination/internal/leasecodec.h"
#include "framework/global/asyncqueue.h"
#include "framework/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::coordination {

using framework::Async;
using framework::Json;
using framework::logEvent;
using framework::LogLevel;
using framework::Milliseconds;

namespace {

constexpr auto s_topic = "coordination.lease";
constexpr auto s_tickInterval = Milliseconds(50);
constexpr auto s_hostListInterval = Milliseconds(10'000);
constexpr auto s_leaveTimeout = Milliseconds(1'000);
constexpr auto s_leavePollInterval = Milliseconds(5);
constexpr auto s_flushDelay = Milliseconds(50); ///< time for the last messages to be sent

} // namespace

Coordinator::Coordinator(framework::asio::any_io_executor executor, Member self, std::vector<framework::Endpoint> seeds,
                         CoordinatorServices services)
    : m_executor(std::move(executor))
    , m_services(std::move(services))
    , m_store(m_services.tables)
{
    const auto seed = self.id.incarnation;
    m_participant = std::make_unique<Participant>(std::move(self), std::move(seeds), m_rules, seed);
}

auto Coordinator::listen() -> void
{
    m_services.peers->listenFor(s_topic, [weak = weak_from_this()](const std::string& payload) {
        const auto self = weak.lock();
        const auto message = self ? fromWire(payload) : std::nullopt;
        if (message) {
            self->perform(self->m_participant->receive(*message, self->m_services.clock->now()));
        }
    });
}

auto Coordinator::run() -> Async<void>
{
    const auto keepAlive = shared_from_this();
    while (m_isRunning) {
        perform(m_participant->tick(m_services.clock->now()));
        co_await framework::sleepFor(s_tickInterval);
    }
}

auto Coordinator::watchHosts() -> Async<void>
{
    const auto keepAlive = shared_from_this();
    do {
        const auto listed = co_await m_services.hosts->hosts();
        auto live = std::set<std::string>();
        for (const auto& entry : listed ? listed.value() : std::vector<platform::HostEntry>()) {
            if (entry.state == platform::HostState::Live) {
                live.insert(entry.host);
            }
        }
        m_participant->setListedHosts(std::move(live));
        co_await framework::sleepFor(s_hostListInterval);
    } while (m_isRunning);
}

auto Coordinator::stop() -> Async<void>
{
    const auto keepAlive = shared_from_this();
    perform(m_participant->leave(m_services.clock->now()));
    for (auto waited = Milliseconds(0); waited < s_leaveTimeout && !m_participant->hasLeft(); waited += s_leavePollInterval) {
        co_await framework::sleepFor(s_leavePollInterval);
    }
    co_await framework::sleepFor(s_flushDelay);
    m_isRunning = false;
}

auto Coordinator::perform(Actions actions) -> void
{
    reportChanges();
    for (auto& action : actions) {
        if (const auto* message = std::get_if<SendMessage>(&action)) {
            m_services.peers->send(message->to, s_topic, toWire(message->message));
        } else {
            boost::asio::co_spawn(m_executor, performStoreAction(std::move(action)), boost::asio::detached);
        }
    }
}

auto Coordinator::performStoreAction(Action action) -> Async<void>
{
    const auto keepAlive = shared_from_this();
    if (const auto* heads = std::get_if<ReadHeads>(&action)) {
        const auto read = co_await m_store.readHeads();
        perform(m_participant->headsRead(heads->request, read, m_services.clock->now()));
    } else if (const auto* view = std::get_if<ReadView>(&action)) {
        const auto read = co_await m_store.readView(view->dataCentre);
        perform(m_participant->viewRead(view->request, read, m_services.clock->now()));
    } else if (const auto* write = std::get_if<WriteView>(&action)) {
        const auto outcome = co_await m_store.writeView(write->view, write->expected);
        perform(m_participant->viewWritten(write->request, outcome, m_services.clock->now()));
    }
}

auto Coordinator::reportChanges() -> void
{
    const auto now = m_services.clock->now();
    const auto hasLease = m_participant->hasLease(now);
    m_hasJoined = m_hasJoined || (hasLease && m_participant->isSettled(now));
    if (hasLease != m_hadLease) {
        m_hadLease = hasLease;
        m_services.metrics->count(hasLease ? "coordination_leases_gained_total" : "coordination_leases_lost_total");
        logEvent(LogLevel::Info, "coordination", hasLease ? "lease_gained" : "lease_lost");
    }
    auto numbers = std::map<std::string, std::uint64_t>();
    for (const auto& dataCentre : m_participant->dataCentres()) {
        if (const auto view = m_participant->view(dataCentre)) {
            numbers[dataCentre] = view->number;
        }
    }
    auto fenced = m_participant->fencedMembers();
    if (numbers == m_reportedViewNumbers && fenced == m_reportedFencedMembers) {
        return;
    }
    for (const auto& [dataCentre, number] : numbers) {
        m_services.metrics->setGauge("coordination_view_number", static_cast<double>(number), {{"data_centre", dataCentre}});
    }
    logEvent(LogLevel::Info, "coordination", "members_changed", {{"views", numbers}, {"fenced", fenced.size()}});
    m_reportedViewNumbers = std::move(numbers);
    m_reportedFencedMembers = std::move(fenced);
    for (const auto& handler : m_handlers) {
        handler();
    }
}

auto Coordinator::ownerOf(const ShardKey& shard) const -> framework::Result<Ownership>
{
    return m_participant->ownerOf(shard);
}

auto Coordinator::mayAct(const ShardKey& shard) const -> framework::Result<std::uint64_t>
{
    auto allowed = m_participant->mayAct(shard, m_services.clock->now());
    if (!allowed) {
        m_services.metrics->count("coordination_acts_refused_total");
    }
    return allowed;
}

auto Coordinator::members(std::string_view dataCentre) const -> std::vector<Member>
{
    const auto view = m_participant->view(dataCentre);
    return view ? view->members : std::vector<Member>();
}

auto Coordinator::dump() const -> Json
{
    return m_participant->dump(m_services.clock->now());
}

} // namespace laburnummill::coordination
