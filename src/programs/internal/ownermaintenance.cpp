#include "programs/internal/enginememory.h"
#include "programs/internal/ownerdriver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

//! NOTE The part of OwnerDriver that runs periodically: ticks, held records, engine memory, metrics.
namespace laburnummill::programs {

using framework::Async;
using framework::AsyncResult;
using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_tickInterval = Milliseconds(10);
constexpr auto s_reconcileInterval = Milliseconds(2'000);
constexpr auto s_maxRowsPerRead = std::size_t{200};

} // namespace

auto OwnerDriver::startLoops() -> void
{
    m_running = true;
    serveHoldRequests();
    const auto spawn = [this](auto work) { framework::asio::co_spawn(m_executor, std::move(work), framework::asio::detached); };
    spawn([self = shared_from_this()]() -> Async<void> { co_await self->tickLoop(); });
    spawn([self = shared_from_this()]() -> Async<void> { co_await self->reconcileLoop(); });
}

auto OwnerDriver::stopLoops(Milliseconds timeout) -> Async<void>
{
    for (auto waited = Milliseconds(0); waited < timeout && m_owner.isBusy(); waited += s_tickInterval) {
        co_await framework::sleepFor(s_tickInterval);
    }
    m_running = false;
}

auto OwnerDriver::tickLoop() -> Async<void>
{
    while (m_running) {
        m_owner.setPeers(otherMembers().size());
        performAll(m_owner.tick(moment()));
        co_await framework::sleepFor(s_tickInterval);
    }
}

auto OwnerDriver::reconcileLoop() -> Async<void>
{
    while (m_running) {
        co_await framework::sleepFor(s_reconcileInterval);
        updateMetrics();
        co_await reconcileHeld();
        for (const auto& engine : engines()) {
            co_await reconcileEngine(engine);
        }
    }
}

auto OwnerDriver::rowsOf(std::vector<std::string> programs) -> AsyncResult<std::vector<std::optional<ProgramRow>>>
{
    auto keys = std::vector<platform::RowKey>();
    for (const auto& program : programs) {
        keys.push_back(rowKeyOf(program));
    }
    BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_services.tables->read(std::move(keys)));
    auto parsed = std::vector<std::optional<ProgramRow>>();
    for (const auto& row : rows) {
        parsed.push_back(row ? std::optional(rowFromText(row->value)) : std::nullopt);
    }
    co_return parsed;
}

auto OwnerDriver::reconcileHeld() -> Async<void>
{
    auto programs = m_held.programs();
    if (programs.empty()) {
        co_return;
    }
    programs.resize(std::min(programs.size(), s_maxRowsPerRead));
    const auto rows = co_await rowsOf(programs);
    if (!rows) {
        co_return;
    }
    for (auto index = std::size_t{0}; index < programs.size(); ++index) {
        const auto& row = rows.value()[index];
        m_held.dropUpTo(programs[index], row ? row->turns : 0);
    }
    for (const auto& program : m_held.programs()) {
        const auto ownership = m_services.shards->ownerOf(shardOf(program));
        if (ownership && ownership.value().isSelf) {
            performAll(m_owner.recover(program, moment()));
        } else if (ownership) {
            m_services.peers->send(ownership.value().owner.address, "programs.recover", program);
        }
    }
}

auto OwnerDriver::engines() const -> std::vector<configuration::BackendServer>
{
    auto found = std::vector<configuration::BackendServer>();
    const auto current = m_services.configuration->current();
    if (!current) {
        return found;
    }
    for (const auto& server : current->backendServers) {
        const auto isEngine = std::ranges::any_of(current->pools, [&server](const auto& pool) {
            return pool.name == server.pool && pool.kind == configuration::RouteKind::Model;
        });
        if (isEngine && server.dataCentre == m_services.membership->self().dataCentre) {
            found.push_back(server);
        }
    }
    return found;
}

auto OwnerDriver::reconcileEngine(configuration::BackendServer engine) -> Async<void>
{
    //! NOTE In each data centre only one host queries each engine.
    const auto shard = coordination::ShardKey{coordination::ShardKind::Pool, "memory/" + engine.name, engine.dataCentre};
    if (!m_services.shards->mayAct(shard)) {
        co_return;
    }
    const auto load = co_await m_services.backends->load(engine.address);
    if (!load) {
        co_return;
    }
    auto names = std::vector<std::string>();
    for (const auto& program : load.value().programs) {
        if (!m_owner.isUnfinished(program, moment().wallMs) && names.size() < s_maxRowsPerRead) {
            names.push_back(program);
            names.push_back(rootOf(program));
        }
    }
    if (names.empty()) {
        co_return;
    }
    const auto rows = co_await rowsOf(names);
    const auto current = m_services.configuration->current();
    if (!rows) {
        co_return;
    }
    auto held = std::vector<HeldProgram>();
    for (auto index = std::size_t{0}; index < names.size(); index += 2) {
        held.push_back({names[index], rows.value()[index], rows.value()[index + 1]});
    }
    for (const auto& program : programsToRelease(held, moment().wallMs, current->programs.expiryMs)) {
        const auto fencing = m_services.shards->mayAct(shard);
        if (fencing && co_await m_services.backends->release(engine.address, program, fencing.value())) {
            m_services.metrics->count("programs_reconciled_total");
        }
    }
}

auto OwnerDriver::release(std::string program) -> Async<void>
{
    for (const auto& engine : engines()) {
        const auto fencing = m_services.shards->mayAct(shardOf(program));
        if (!fencing) {
            co_return;
        }
        const auto released = co_await m_services.backends->release(engine.address, program, fencing.value());
        m_services.metrics->count("programs_released_total", {{"outcome", released ? "done" : "lost"}});
    }
}

auto OwnerDriver::updateMetrics() -> void
{
    auto& metrics = *m_services.metrics;
    const auto& counts = m_owner.counts();
    metrics.setGauge("programs_committed_turns", static_cast<double>(counts.committed));
    metrics.setGauge("programs_history_batches", static_cast<double>(counts.batches));
    metrics.setGauge("programs_held_turns", static_cast<double>(counts.heldTurns));
    metrics.setGauge("programs_queued_records", static_cast<double>(m_owner.queue().size()));
    metrics.setGauge("programs_history_bytes", static_cast<double>(m_owner.historyBytes()));
    metrics.setGauge("programs_held_bytes", static_cast<double>(m_held.bytes()));
    for (const auto& [invariant, name] : s_invariantNames) {
        const auto violations = m_owner.invariants().violations(invariant);
        metrics.setGauge("programs_violations", static_cast<double>(violations), {{"invariant", std::string(name)}});
    }
}

auto OwnerDriver::dump() const -> Json
{
    auto document = m_owner.toJson();
    document["heldRecords"] = m_held.size();
    document["heldBytes"] = m_held.bytes();
    return document;
}

} // namespace laburnummill::programs
