#include "scheduling/internal/poolscheduler.h"

namespace laburnummill::scheduling {

using framework::AsyncResult;

namespace {

constexpr auto s_openPermitsTopic = std::string_view("scheduling.openpermits");

} // namespace

PoolScheduler::PoolScheduler(framework::asio::any_io_executor executor, SchedulingServices services, std::shared_ptr<DispatcherHost> host)
    : m_executor(std::move(executor))
    , m_services(std::move(services))
    , m_host(std::move(host))
{}

auto PoolScheduler::serve() -> void
{
    m_services.peers->serve(
        std::string(s_openPermitsTopic),
        [self = shared_from_this()](std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> framework::Async<void> {
            auto question = OpenPermitsQuestion();
            if (question.ParseFromString(payload)) {
                responder->write(self->link(question.pool(), question.data_centre())->hello().SerializeAsString());
            }
            responder->end();
            co_return;
        });
}

auto PoolScheduler::link(const std::string& pool, const std::string& dataCentre) -> std::shared_ptr<ExecutorLink>
{
    auto& link = m_links[{pool, dataCentre}];
    if (!link) {
        const auto shard = coordination::ShardKey{coordination::ShardKind::Pool, pool, dataCentre};
        link = std::make_shared<ExecutorLink>(m_executor, m_services, m_host, shard);
    }
    return link;
}

auto PoolScheduler::tick() -> void
{
    for (const auto& [key, link] : m_links) {
        link->tick();
    }
}

auto PoolScheduler::permitOf(const PermitOutcome& outcome, const std::string& pool) const -> framework::Result<Permit>
{
    const auto* server = m_services.configuration->current()->backendServer(outcome.permit.engine);
    if (server == nullptr) {
        return SchedulingError::NoBackend;
    }
    return Permit{outcome.permit.call.key.number, pool, server->name, server->dataCentre, server->address, outcome.fencing};
}

auto PoolScheduler::acquire(PermitRequest request) -> AsyncResult<Permit>
{
    const auto self = shared_from_this();
    auto call = ScheduledCall();
    call.account = request.account;
    call.program = request.program;
    call.root = request.root;
    call.model = request.model;
    call.promptTokens = request.promptTokens;
    call.deadline = m_services.clock->now() + request.timeout;
    auto dataCentre = m_services.membership->self().dataCentre;
    while (true) {
        call.key.number = m_nextNumber++;
        const auto executorLink = link(request.pool, dataCentre);
        const auto outcome = co_await executorLink->requestPermit(call);
        if (outcome.kind == PermitOutcome::Kind::Refused) {
            co_return outcome.error;
        }
        if (outcome.kind == PermitOutcome::Kind::Overflowed) {
            dataCentre = outcome.dataCentre;
            call.isOverflow = true;
            continue;
        }
        auto permit = permitOf(outcome, request.pool);
        if (!permit) {
            executorLink->release(call.key.number, {PermitEnd::Cancelled, 0, 0, 0});
        }
        co_return permit;
    }
}

auto PoolScheduler::release(const Permit& permit, const PermitUse& use) -> void
{
    link(permit.pool, permit.dataCentre)->release(permit.id, use);
}

} // namespace laburnummill::scheduling
