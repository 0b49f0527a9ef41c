#include "serving/requesthandler.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// Steps of request handling that apply only to turns of programs.

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using framework::Async;
using programs::BudgetOutcome;
using programs::TurnHistory;
using scheduling::EndReason;

/// Time after its time limit in which an answer that is ready may still be stored and end: servers stop at the limit itself.
constexpr auto s_lateEndAllowance = framework::Milliseconds(300);

/// Callers leave a stream after a pause of two seconds, four times its objective or eight times its longest punctual pause, whichever is
/// longest.
constexpr auto s_minCallerIdleTimeout = framework::Milliseconds(2'000);
constexpr auto s_idleTimeoutInObjectives = 4;
constexpr auto s_idleTimeoutInIntervals = 8;

/// Interval in which a turn that waits for the store considers whether its caller is still there.
constexpr auto s_storeWaitInterval = framework::Milliseconds(50);

/// The program's home host may notice the return of the store later than this one.
constexpr auto s_returnSettleTime = framework::Milliseconds(300);

auto callerIdleTimeout(const routing::Route& route) -> framework::Milliseconds
{
    return std::max(
        {s_minCallerIdleTimeout, route.latencyObjective * s_idleTimeoutInObjectives, route.maxEventInterval * s_idleTimeoutInIntervals});
}

} // namespace

auto RequestHandler::mayStartProgram() const -> bool
{
    const auto& turn = m_request.turn;
    if (!isTurn()) {
        return turn.program.empty();
    }
    if (*m_history == TurnHistory::KeptByHosts) {
        return turn.previousTurn.empty();
    }
    // A chain with an id of its own belongs to a sub-agent, which a program in progress has started.
    return (turn.line.empty() || turn.line == turn.program) && !m_context.budgets.hasProgram(programKey());
}

auto RequestHandler::determinePhase() -> Async<void>
{
    if (!mayStartProgram()) {
        co_return;
    }
    m_phase = accounts::ProgramPhase::Starting;
    if (m_history != TurnHistory::SentByCaller) {
        co_return;
    }
    // The turn does not tell whether it is its program's first. Other hosts are asked only if the answer matters.
    const auto now = m_context.clock.now();
    const auto isLimited = !m_account.empty() && m_context.limiter.timeToNext(m_account, accounts::ProgramPhase::Starting, now).count() > 0;
    if ((isLimited || isAdmissionSelective()) && co_await m_context.budgets.isInProgress(programKey())) {
        m_phase = accounts::ProgramPhase::InProgress;
    }
    recordPhase("program", now);
}

auto RequestHandler::isAdmissionSelective() const -> bool
{
    if (m_context.overloadControl == OverloadControl::ByPrograms) {
        const auto* admission = m_context.overload.admission(m_service->name);
        return admission != nullptr && admission->isSelective();
    }
    return scheduling::Admission::isSelective(usableServers(), m_route->priority, m_context.clock.now());
}

auto RequestHandler::prepareTurn() -> Async<std::optional<Refusal>>
{
    m_input = m_request.body;
    if (*m_history == TurnHistory::KeptByHosts) {
        auto refusal = co_await prepareHistory();
        if (!refusal) {
            refusal = checkCrashes(); // Short inputs are common, and only the whole text identifies a turn.
        }
        if (refusal) {
            co_return refusal;
        }
    }
    co_return *m_history == TurnHistory::KeptByHosts ? co_await reserveWithStore() : co_await reserveBudget();
}

auto RequestHandler::reserveWithStore() -> Async<std::optional<Refusal>>
{
    while (true) {
        const auto refusal = co_await reserveBudget();
        const auto latest = programs::TurnStart::latestWithStore(startView());
        if (refusal != Refusal::BudgetUnknown || m_context.clock.now() >= latest || m_interruption->hasCallerDisconnected) {
            co_return refusal;
        }
        if (m_context.journal.isCutOff(programKey())) {
            co_return Refusal::CutOff;
        }
        if (m_context.journal.isStoreAwayForAll(programKey())) {
            co_await awaitStore(latest);
        } else if (m_storeAwaitedAt && m_context.clock.now() < *m_storeAwaitedAt + s_returnSettleTime) {
            auto pause = asio::steady_timer(m_context.executor, s_storeWaitInterval);
            co_await pause.async_wait(asio::use_awaitable);
        } else {
            co_return refusal;
        }
    }
}

auto RequestHandler::startView() const -> programs::TurnStartView
{
    const auto average = [this](const std::string& kind) {
        return framework::Milliseconds(static_cast<std::int64_t>(m_context.latencies.average(kind).value_or(0)));
    };
    return {.arrivedAt = m_request.arrivedAt,
            .endBy = m_deadline,
            .callerIdleTimeout = callerIdleTimeout(*m_route),
            .expectedRunTime = average(runTimeKind()),
            .expectedFirstWait = average(firstEventLatencyKind())};
}

auto RequestHandler::awaitStore(framework::Instant latest) -> Async<void>
{
    const auto& journal = m_context.journal;
    const auto startedAt = m_context.clock.now();
    if (startedAt >= latest || !journal.isStoreAwayForAll(programKey())) {
        co_return;
    }
    while (m_context.clock.now() < latest && journal.isStoreAwayForAll(programKey()) && !journal.isCutOff(programKey()) &&
           !m_interruption->hasCallerDisconnected) {
        const auto left = std::chrono::duration_cast<framework::Milliseconds>(latest - m_context.clock.now());
        co_await m_context.journal.awaitReturn(std::clamp(left, framework::Milliseconds(1), s_storeWaitInterval));
    }
    m_storeAwaitedAt = m_context.clock.now();
    recordPhase("store", startedAt);
}

auto RequestHandler::prepareHistory() -> Async<std::optional<Refusal>>
{
    co_await awaitStore(programs::TurnStart::latest(startView()));
    if (m_context.journal.isCutOff(programKey())) {
        co_return Refusal::CutOff;
    }
    if (m_context.journal.isFull() || !m_context.journal.canCommitBy(programKey(), m_deadline - s_minRemainingTime)) {
        co_return Refusal::StoreUnreachable;
    }
    const auto& turn = m_request.turn;
    if (turn.previousTurn.empty()) {
        co_return std::nullopt;
    }
    const auto startedAt = m_context.clock.now();
    const auto search = co_await m_context.journal.find(turn.previousTurn, programKey());
    recordPhase("previousTurn", startedAt);
    if (!search.turn) {
        co_return search.isCertain ? Refusal::NoSuchTurn : Refusal::TurnUnknown;
    }
    if (search.turn->account != m_account) {
        co_return Refusal::NoSuchTurn;
    }
    const auto chain = co_await m_context.journal.findAncestors(search.turn);
    recordPhase("chain", startedAt);
    if (!chain) {
        co_return Refusal::TurnUnknown;
    }
    auto bytes = search.turn->input.size() + search.turn->output.size() + m_input.size();
    for (const auto& ancestor : *chain) {
        bytes += ancestor->input.size() + ancestor->output.size();
    }
    m_historyMemory = scheduling::BufferMemory::Share(m_context.bufferMemory, callerOwner(m_account));
    if (!m_historyMemory.grow(bytes)) {
        co_return Refusal::HostFull;
    }
    auto text = std::string();
    text.reserve(bytes);
    for (const auto& ancestor : *chain) {
        text.append(ancestor->input).append(ancestor->output);
    }
    text.append(search.turn->input).append(search.turn->output).append(m_input);
    m_request.body = std::move(text);
    m_continuesProgram = search.turn->program == turn.program;
    m_ancestors = search.turn->ancestors;
    m_ancestors.push_back(
        {.id = search.turn->id, .partition = programs::partitionOf({.account = m_account, .program = search.turn->program})});
    m_requirements.lastBackend = search.turn->backend;
    co_return std::nullopt;
}

auto RequestHandler::reserveBudget() -> Async<std::optional<Refusal>>
{
    const auto& turn = m_request.turn;
    if (!turn.hasBudget || turn.program.empty()) {
        co_return std::nullopt;
    }
    const auto startedAt = m_context.clock.now();
    const auto isFirstTurn = *m_history == TurnHistory::KeptByHosts && turn.previousTurn.empty();
    const auto reservation = co_await m_context.budgets.reserve(programKey(), {.budget = turn.budget,
                                                                               .maxTokens = turn.maxTokens,
                                                                               .isFirstTurn = isFirstTurn,
                                                                               .continuesProgram = m_continuesProgram,
                                                                               .history = *m_history,
                                                                               .endBy = m_deadline - s_minRemainingTime});
    recordPhase("budget", startedAt);
    if (reservation.outcome == BudgetOutcome::Reserved) {
        m_reservedTokens = reservation.tokens;
        m_isGrantRecorded = reservation.isRecorded;
        co_return std::nullopt;
    }
    co_return reservation.outcome == BudgetOutcome::Exhausted ? Refusal::BudgetSpent : Refusal::BudgetUnknown;
}

auto RequestHandler::programKey() const -> programs::ProgramKey
{
    return {.account = m_account, .program = m_request.turn.program};
}

auto RequestHandler::tokensPerEvent() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(m_service->engine ? m_service->engine->tokensPerEvent : 1);
}

auto RequestHandler::commitTurn(const BackendPtr& backend) -> Async<bool>
{
    const auto isKept = *m_history == TurnHistory::KeptByHosts;
    // Tokens that are not yet in the program's row are replicated with the turn that used them.
    if (!isKept && m_isGrantRecorded) {
        settleBudget();
        co_return true;
    }
    auto turn = std::make_shared<programs::Turn>();
    turn->id = m_request.id;
    turn->account = m_account;
    turn->program = m_request.turn.program;
    if (isKept) {
        turn->ancestors = m_ancestors;
        turn->input = m_input;
        turn->output = m_events.data();
    }
    turn->tokens = static_cast<int>(static_cast<std::uint64_t>(m_events.events()) * tokensPerEvent());
    turn->backend = backend->entry.id;
    const auto startedAt = m_context.clock.now();
    m_turn = std::move(turn);
    settleBudget();
    const auto outcome = co_await m_context.journal.commit(m_turn, m_request.turn.maxTokens, *m_history, m_deadline + s_lateEndAllowance);
    recordPhase("commit", startedAt);
    m_commit = framework::nameOf(programs::s_commitOutcomeNames, outcome);
    m_context.metrics.count("turn_commits", {{"outcome", m_commit}});
    m_context.metrics.record("turn_commit_ms", std::chrono::duration<double, std::milli>(m_context.clock.now() - startedAt).count());
    co_return outcome != programs::CommitOutcome::NotStored;
}

auto RequestHandler::settleBudget() -> void
{
    if (m_reservedTokens == 0) {
        return;
    }
    const auto startedEvents = m_events.events() + (m_events.isBetweenEvents() ? 0 : 1);
    const auto left =
        m_context.budgets.settle(programKey(), m_reservedTokens, static_cast<std::uint64_t>(startedEvents) * tokensPerEvent());
    m_reservedTokens = 0;
    if (left > 0 || m_turn) {
        m_context.journal.notifyHome(programKey(), m_turn, left);
    }
}

auto RequestHandler::onHead(const framework::ResponseHead& head) -> Async<bool>
{
    if (m_response.hasStarted()) {
        co_return true; // This run continues the response; the caller has the header of the first one.
    }
    co_return co_await m_response.beginStream(head);
}

auto RequestHandler::onChunk(std::string_view bytes) -> Async<bool>
{
    if (!m_continuation) {
        co_return co_await forward(bytes);
    }
    const auto events = m_continuation->feed(bytes);
    if (!events.empty() && !co_await forward(events)) {
        co_return false;
    }
    co_return !m_continuation->fault();
}

auto RequestHandler::isComplete(ResponseFraming framing) const -> bool
{
    return isCompleteStream(framing, m_events.events() - m_eventsBeforeAttempt, endedInsideEvent());
}

auto RequestHandler::forward(std::string_view bytes) -> Async<bool>
{
    const auto eventsBefore = m_events.events();
    m_events.feed(bytes);
    const auto tokens = static_cast<std::uint64_t>(m_events.events()) * tokensPerEvent();
    if (!co_await coverTokens(tokens)) {
        m_ending.note(EndReason::TokensUsedUp);
        co_return false;
    }
    if (m_events.events() > eventsBefore) {
        recordEvent();
    }
    const auto isTaken = co_await m_response.sendChunk(bytes);
    if (!isTaken) {
        m_ending.note(m_response.isCallerStalled() ? EndReason::CallerStalled : EndReason::CallerLeft);
    }
    co_return isTaken;
}

auto RequestHandler::coverTokens(std::uint64_t tokens) -> Async<bool>
{
    const auto isPartial = m_reservedTokens > 0 && m_reservedTokens < m_request.turn.maxTokens;
    if (!isPartial || tokens <= m_reservedTokens) {
        co_return true;
    }
    const auto startedAt = m_context.clock.now();
    const auto lacking = m_request.turn.maxTokens - m_reservedTokens;
    const auto isExtended = co_await m_context.budgets.extend(programKey(), lacking, m_deadline - s_minRemainingTime);
    recordPhase("furtherTokens", startedAt);
    m_context.metrics.count("grants_extended", {{"outcome", isExtended ? "done" : "failed"}});
    m_reservedTokens += isExtended ? lacking : 0;
    co_return isExtended;
}

auto RequestHandler::recordEvent() -> void
{
    m_awaited.reset();
    m_lastEventAt = m_context.clock.now();
    m_progressDeadline = m_lastEventAt + stallTimeout();
    if (m_firstEventAt < m_attemptStartedAt) {
        m_firstEventAt = m_lastEventAt;
        const auto wait = std::chrono::duration<double, std::milli>(m_firstEventAt - m_attemptStartedAt).count();
        m_context.latencies.record(firstEventLatencyKind(), wait);
        m_context.metrics.record("first_event_ms", std::chrono::duration<double, std::milli>(m_lastEventAt - m_request.arrivedAt).count());
    }
}

} // namespace laburnummill::serving
