#include "scheduling/internal/dispatcherhost.h"

#include "backends/backenderrors.h"
#include "framework/logging/log.h"
#include "scheduling/internal/policyfactory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::scheduling {

using configuration::BackendServer;
using configuration::Configuration;
using framework::Async;
using framework::Instant;
using framework::Json;
using framework::logEvent;
using framework::LogLevel;
using framework::Milliseconds;

namespace {

constexpr auto s_dispatchTopic = std::string_view("scheduling.dispatch");
constexpr auto s_openPermitsTopic = std::string_view("scheduling.openpermits");
constexpr auto s_loadTopic = std::string_view("scheduling.load");
constexpr auto s_enginePollInterval = Milliseconds(500);
constexpr auto s_loadAnnounceInterval = Milliseconds(500);
constexpr auto s_peerLoadLifetime = Milliseconds(3'000);
constexpr auto s_openPermitsTimeout = Milliseconds(1'500);

auto specsOf(const Configuration& configuration, const std::string& pool, const std::string& dataCentre) -> std::vector<EngineSpec>
{
    const auto* here = configuration.dataCentre(dataCentre);
    auto specs = std::vector<EngineSpec>();
    for (const auto& server : configuration.backendServers) {
        if (server.pool == pool && server.dataCentre == dataCentre) {
            const auto isDrained = server.drained || (here != nullptr && here->drained);
            specs.push_back({server.name, server.concurrency, server.coldConcurrency, isDrained});
        }
    }
    return specs;
}

auto settingsOf(const configuration::PolicySettings& policy) -> DispatcherSettings
{
    auto settings = DispatcherSettings();
    settings.queuePerSlot = policy.queuePerSlot;
    settings.minHealthyTime = Milliseconds(policy.minHealthyMs);
    return settings;
}

} // namespace

DispatcherHost::DispatcherHost(framework::asio::any_io_executor executor, SchedulingServices services)
    : m_executor(std::move(executor))
    , m_services(std::move(services))
    , m_dataCentre(m_services.membership->self().dataCentre)
{}

auto DispatcherHost::shardOf(const std::string& pool) const -> coordination::ShardKey
{
    return {coordination::ShardKind::Pool, pool, m_dataCentre};
}

auto DispatcherHost::serve() -> void
{
    m_services.peers->serve(
        std::string(s_dispatchTopic),
        [self = shared_from_this()](std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> Async<void> {
            auto first = ToDispatcher();
            const auto send = [responder](const ToExecutor& message) { responder->write(message.SerializeAsString()); };
            if (!first.ParseFromString(payload) || !self->attach(first.hello(), send)) {
                responder->fail(framework::RpcError::Refused);
                co_return;
            }
            const auto holder = holderOf(first.hello().host(), first.hello().incarnation());
            responder->onMessage([self, pool = first.hello().pool(), holder](const std::string& text) {
                auto message = ToDispatcher();
                if (message.ParseFromString(text)) {
                    self->handleMessage(pool, holder, message);
                }
            });
        });
    m_services.peers->listenFor(std::string(s_loadTopic), [self = shared_from_this()](const std::string& text) {
        auto message = LoadMessage();
        if (message.ParseFromString(text)) {
            self->handleLoad(message);
        }
    });
}

auto DispatcherHost::attach(const HelloMessage& hello, SendFunction send) -> bool
{
    const auto found = m_pools.find(hello.pool());
    if (found == m_pools.end()) {
        return false;
    }
    auto& state = *found->second;
    const auto now = m_services.clock->now();
    const auto holder = holderOf(hello.host(), hello.incarnation());
    auto permits = std::vector<OpenPermit>();
    for (const auto& permit : hello.permits()) {
        permits.push_back(permitOf(permit, holder, now));
    }
    state.links[holder] = std::move(send);
    state.holders[holder] = {hello.host(), hello.incarnation()};
    state.dispatcher->reconcilePermits(holder, permits, now);
    deliverActions(state);
    return true;
}

auto DispatcherHost::handleMessage(const std::string& pool, std::uint64_t holder, const ToDispatcher& message) -> void
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    auto& state = *found->second;
    const auto now = m_services.clock->now();
    if (message.has_submit()) {
        state.dispatcher->submit(callOf(message.submit(), holder, now), now);
    } else if (message.has_cancel()) {
        state.dispatcher->cancel({holder, message.cancel()}, now);
    } else if (message.has_release()) {
        state.dispatcher->release({holder, message.release().number()}, useOf(message.release()), now);
    }
    deliverActions(state);
}

auto DispatcherHost::deliverActions(PoolState& state) -> void
{
    const auto actions = state.dispatcher->takeActions();
    if (actions.empty() || !m_services.shards->mayAct(shardOf(state.pool))) {
        // NOTE This host no longer owns the pool: no actions are sent, and the next tick removes the dispatcher.
        return;
    }
    const auto now = m_services.clock->now();
    for (const auto& action : actions) {
        const auto link = state.links.find(keyOf(action).holder);
        if (link != state.links.end()) {
            link->second(toMessage(action, state.fencing, now));
        }
    }
}

auto DispatcherHost::startDispatcher(const Configuration& configuration, const std::string& pool, std::uint64_t fencing) -> void
{
    auto state = std::make_shared<PoolState>();
    state->pool = pool;
    state->fencing = fencing;
    const auto rules = settingsOf(configuration.policy);
    state->dispatcher = std::make_unique<Dispatcher>(std::make_unique<AdmissionRules>(rules), makePolicy(configuration.policy));
    state->dispatcher->begin(m_services.clock->now());
    configure(*state, configuration);
    m_pools[pool] = state;
    logEvent(LogLevel::Info, "scheduling", "dispatcher_began", {{"pool", pool}, {"fencing", fencing}});
    boost::asio::co_spawn(m_executor, collectOpenPermits(state), boost::asio::detached);
}

auto DispatcherHost::configure(PoolState& state, const Configuration& configuration) -> void
{
    state.configurationVersion = configuration.version;
    for (const auto& account : configuration.clientAccounts) {
        state.dispatcher->setWeight(account.name, account.weight);
    }
    state.dispatcher->configure(specsOf(configuration, state.pool, m_dataCentre), m_services.clock->now());
}

auto DispatcherHost::tick() -> void
{
    const auto current = m_services.configuration->current();
    if (!current) {
        return;
    }
    for (const auto& pool : current->pools) {
        const auto fencing = m_services.shards->mayAct(shardOf(pool.name));
        const auto found = m_pools.find(pool.name);
        if (!fencing && found != m_pools.end()) {
            m_pools.erase(found);
            logEvent(LogLevel::Info, "scheduling", "dispatcher_ended", {{"pool", pool.name}});
        } else if (fencing && found == m_pools.end()) {
            startDispatcher(*current, pool.name, fencing.value());
        } else if (fencing) {
            found->second->fencing = fencing.value();
        }
    }
    for (const auto& [pool, state] : m_pools) {
        if (state->configurationVersion != current->version) {
            configure(*state, *current);
        }
        tickPool(state);
    }
}

auto DispatcherHost::tickPool(const PoolStatePtr& state) -> void
{
    const auto now = m_services.clock->now();
    removeDeadHolders(*state);
    const auto current = m_services.configuration->current();
    for (const auto& server : current->backendServers) {
        auto& polledAt = state->enginePolledAt[server.name];
        if (server.pool == state->pool && server.dataCentre == m_dataCentre && now - polledAt >= s_enginePollInterval) {
            polledAt = now;
            boost::asio::co_spawn(m_executor, pollEngine(state, server), boost::asio::detached);
        }
    }
    state->dispatcher->tick(now);
    deliverActions(*state);
    announceLoad(*state);
}

auto DispatcherHost::removeDeadHolders(PoolState& state) -> void
{
    for (auto holder = state.holders.begin(); holder != state.holders.end();) {
        if (m_services.membership->isAlive(holder->second)) {
            ++holder;
            continue;
        }
        state.dispatcher->markHolderDead(holder->first, m_services.clock->now());
        state.links.erase(holder->first);
        holder = state.holders.erase(holder);
    }
}

auto DispatcherHost::collectOpenPermits(PoolStatePtr state) -> Async<void>
{
    auto question = OpenPermitsQuestion();
    question.set_pool(state->pool);
    question.set_data_centre(m_dataCentre);
    for (const auto& dataCentre : m_services.membership->dataCentres()) {
        for (const auto& member : m_services.membership->members(dataCentre)) {
            if (member.id == m_services.membership->self().id) {
                continue;
            }
            const auto text =
                co_await m_services.peers->request(member.address, s_openPermitsTopic, question.SerializeAsString(), s_openPermitsTimeout);
            auto hello = HelloMessage();
            if (!text || !hello.ParseFromString(text.value()) || state->links.contains(holderOf(hello.host(), hello.incarnation()))) {
                continue;
            }
            const auto now = m_services.clock->now();
            const auto holder = holderOf(hello.host(), hello.incarnation());
            auto permits = std::vector<OpenPermit>();
            for (const auto& permit : hello.permits()) {
                permits.push_back(permitOf(permit, holder, now));
            }
            state->holders[holder] = {hello.host(), hello.incarnation()};
            state->dispatcher->reconcilePermits(holder, permits, now);
        }
    }
    state->dispatcher->finishRecovery(m_services.clock->now());
    deliverActions(*state);
}

auto DispatcherHost::pollEngine(PoolStatePtr state, BackendServer server) -> Async<void>
{
    const auto load = co_await m_services.backends->load(server.address);
    const auto now = m_services.clock->now();
    if (load) {
        const auto& value = load.value();
        state->dispatcher->handleReport(server.name, {value.startId, value.running, value.waiting, value.cold, value.models}, now);
        co_await pollCacheEvents(state, server);
    } else if (load.error() == backends::BackendError::ServerFailure) {
        // NOTE The server is a plain service: it responds, but does not report its load.
        state->dispatcher->handleReport(server.name, {}, now);
    } else {
        state->dispatcher->reportFailed(server.name, now);
    }
    deliverActions(*state);
}

auto DispatcherHost::pollCacheEvents(PoolStatePtr state, BackendServer server) -> Async<void>
{
    const auto current = m_services.configuration->current();
    const auto isModel = std::ranges::any_of(
        current->pools, [&](const auto& pool) { return pool.name == server.pool && pool.kind == configuration::RouteKind::Model; });
    if (!isModel) {
        co_return;
    }
    const auto events = co_await m_services.backends->cacheEvents(server.address, state->cacheSequences[server.name]);
    if (!events) {
        co_return;
    }
    for (const auto& event : events.value()) {
        state->cacheSequences[server.name] = event.sequence;
        state->dispatcher->cacheChanged(server.name, event.program, event.tokens);
    }
}

auto DispatcherHost::announceLoad(PoolState& state) -> void
{
    const auto now = m_services.clock->now();
    if (now - state.loadAnnouncedAt < s_loadAnnounceInterval) {
        return;
    }
    state.loadAnnouncedAt = now;
    auto fresh = std::vector<PeerDispatcher>();
    for (const auto& [dataCentre, peer] : state.peerDispatchers) {
        if (now - state.peerLoadReceivedAt[dataCentre] < s_peerLoadLifetime) {
            fresh.push_back(peer);
        }
    }
    state.dispatcher->setPeerDispatchers(std::move(fresh));
    auto message = LoadMessage();
    message.set_pool(state.pool);
    message.set_data_centre(m_dataCentre);
    message.set_expected_wait_ms(state.dispatcher->expectedWait({}, now).count());
    message.set_takes_new(state.dispatcher->engines().anyTakesNew(now));
    for (const auto& dataCentre : m_services.membership->dataCentres()) {
        const auto owner = m_services.shards->ownerOf({coordination::ShardKind::Pool, state.pool, dataCentre});
        if (dataCentre != m_dataCentre && owner) {
            m_services.peers->send(owner.value().owner.address, s_loadTopic, message.SerializeAsString());
        }
    }
}

auto DispatcherHost::handleLoad(const LoadMessage& message) -> void
{
    const auto found = m_pools.find(message.pool());
    if (found != m_pools.end()) {
        const auto peer = PeerDispatcher{message.data_centre(), Milliseconds(message.expected_wait_ms()), message.takes_new()};
        found->second->peerDispatchers[message.data_centre()] = peer;
        found->second->peerLoadReceivedAt[message.data_centre()] = m_services.clock->now();
    }
}

auto DispatcherHost::dump() const -> Json
{
    auto pools = Json::object();
    for (const auto& [pool, state] : m_pools) {
        pools[pool] = state->dispatcher->dump(m_services.clock->now());
        pools[pool]["executors"] = state->links.size();
    }
    return pools;
}

} // namespace laburnummill::scheduling
