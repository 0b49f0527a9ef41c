#include "serving/requestrun.h"

// The part of a request's life that only turns of programs have.

namespace laburnummill::serving {

namespace {

using backends::BackendPtr;
using framework::Async;
using programs::BudgetOutcome;

} // namespace

auto RequestRun::prepareTurn() -> Async<std::optional<Refusal>>
{
    m_input = m_request.body;
    const auto& turn = m_request.turn;
    if (m_parts.journal.isFull()) {
        co_return Refusal::StoreAway;
    }
    const auto began = m_parts.clock.now();
    if (!turn.previousTurn.empty()) {
        const auto search = co_await m_parts.journal.find(turn.previousTurn, programKey());
        noteStage("previousTurn", began);
        if (!search.turn) {
            co_return search.isCertain ? Refusal::NoSuchTurn : Refusal::TurnUnknown;
        }
        if (search.turn->account != m_account) {
            co_return Refusal::NoSuchTurn;
        }
        const auto chain = co_await m_parts.journal.findAncestors(search.turn);
        noteStage("chain", began);
        if (!chain) {
            co_return Refusal::TurnUnknown;
        }
        auto text = std::string();
        for (const auto& ancestor : *chain) {
            text += ancestor->input + ancestor->output;
        }
        text += search.turn->input + search.turn->output;
        m_request.body = text + m_input;
        m_ancestors = search.turn->ancestors;
        m_ancestors.push_back(
            {.id = search.turn->id, .partition = programs::partitionOf({.account = m_account, .program = search.turn->program})});
        m_need.lastBackend = search.turn->backend;
    }
    if (!turn.hasBudget || turn.program.empty()) {
        co_return std::nullopt;
    }
    const auto askedAt = m_parts.clock.now();
    const auto reservation = co_await m_parts.budgets.reserve(programKey(), turn.budget, turn.mostTokens, turn.previousTurn.empty());
    noteStage("budget", askedAt);
    if (reservation.outcome == BudgetOutcome::Reserved) {
        m_reservedTokens = reservation.tokens;
        co_return std::nullopt;
    }
    co_return reservation.outcome == BudgetOutcome::Exhausted ? Refusal::BudgetSpent : Refusal::BudgetUnknown;
}

auto RequestRun::programKey() const -> programs::ProgramKey
{
    return {.account = m_account, .program = m_request.turn.program};
}

auto RequestRun::tokensPerEvent() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(m_service->engine ? m_service->engine->tokensPerEvent : 1);
}

auto RequestRun::commitTurn(const BackendPtr& backend) -> Async<void>
{
    auto turn = std::make_shared<programs::Turn>();
    turn->id = m_request.id;
    turn->account = m_account;
    turn->program = m_request.turn.program;
    turn->ancestors = m_ancestors;
    turn->input = m_input;
    turn->output = m_events.data();
    turn->tokens = static_cast<int>(static_cast<std::uint64_t>(m_events.events()) * tokensPerEvent());
    turn->backend = backend->entry.id;
    const auto began = m_parts.clock.now();
    m_turn = std::move(turn);
    settleTurn();
    const auto outcome = co_await m_parts.journal.commit(m_turn, m_request.turn.mostTokens);
    noteStage("commit", began);
    m_commit = framework::nameOf(programs::s_commitOutcomeNames, outcome);
    m_parts.metrics.count("turn_commits", {{"outcome", m_commit}});
    m_parts.metrics.record("turn_commit_ms", std::chrono::duration<double, std::milli>(m_parts.clock.now() - began).count());
}

auto RequestRun::settleTurn() -> void
{
    if (m_reservedTokens == 0) {
        return;
    }
    const auto begunEvents = m_events.events() + (m_events.isBetweenEvents() ? 0 : 1);
    const auto left = m_parts.budgets.settle(programKey(), m_reservedTokens, static_cast<std::uint64_t>(begunEvents) * tokensPerEvent());
    m_reservedTokens = 0;
    if (left > 0 || m_turn) {
        m_parts.journal.notifyHome(programKey(), m_turn, left);
    }
}

auto RequestRun::onHead(const http::response_header<>& head) -> Async<bool>
{
    co_return co_await m_answer.begin(head);
}

auto RequestRun::onPiece(std::string_view bytes) -> Async<bool>
{
    m_events.feed(bytes);
    const auto tokens = static_cast<std::uint64_t>(m_events.events()) * tokensPerEvent();
    if (m_reservedTokens > 0 && m_reservedTokens < m_request.turn.mostTokens && tokens > m_reservedTokens) {
        co_return false; // Tokens that were lent while the store is away are used up.
    }
    m_awaited.reset();
    m_lastEventAt = m_parts.clock.now();
    if (m_firstEventAt == framework::Instant{}) {
        m_firstEventAt = m_lastEventAt;
        const auto wait = std::chrono::duration<double, std::milli>(m_firstEventAt - m_attemptBegan).count();
        m_parts.latencies.record(firstEventKind(), wait);
        m_parts.metrics.record("first_event_ms", std::chrono::duration<double, std::milli>(m_lastEventAt - m_request.arrivedAt).count());
    }
    co_return co_await m_answer.piece(bytes);
}

} // namespace laburnummill::serving
