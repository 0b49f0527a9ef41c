#include "programs/internal/programowner.h"

#include "programs/programerrors.h"

#include <algorithm>

namespace laburnummill::programs {

using calls::CallAnswer;
using calls::CallFailure;
using calls::callFailure;
using calls::CallOutcome;
using calls::Ran;
using framework::Json;
using framework::Milliseconds;
using framework::Result;

namespace {

constexpr auto s_retryAfter = Milliseconds(500);
constexpr auto s_scanInterval = Milliseconds(1'000);

auto retryAfterOf(const std::error_code& error) -> std::optional<Milliseconds>
{
    const auto isTransient = framework::kindOf(error) == framework::FailureKind::Unavailable || error == ProgramError::TurnTooEarly;
    return isTransient ? std::optional(s_retryAfter) : std::nullopt;
}

auto statusOf(const std::string& program, const ProgramState& state) -> ProgramStatus
{
    return {program, state.turns, state.row.tokens, state.row.ended};
}

//! NOTE A token is at least one byte, so the size of the added messages is an upper bound of their tokens.
auto tokensFor(const ProgramState& state, const Json& body, const std::string& addedMessages, std::uint64_t defaultCompletion)
    -> std::uint64_t
{
    if (addedMessages.empty()) {
        return 0;
    }
    const auto completion = framework::integerAt(body, "max_tokens", static_cast<std::int64_t>(defaultCompletion));
    return state.historyTokens + addedMessages.size() + static_cast<std::uint64_t>(std::max<std::int64_t>(completion, 0));
}

} // namespace

ProgramOwner::ProgramOwner(OwnerSettings settings, std::shared_ptr<const ILeases> leases)
    : m_settings(std::move(settings))
    , m_leases(std::move(leases))
    , m_queue(m_settings.queue)
{}

auto ProgramOwner::takeActions() -> Actions
{
    evict();
    return std::exchange(m_actions, {});
}

auto ProgramOwner::stateOf(const std::string& program) const -> StatePtr
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? nullptr : found->second;
}

auto ProgramOwner::refuse(Ticket ticket, std::error_code error, Ran ran) -> void
{
    m_actions.emplace_back(Answer{ticket, callFailure(error, ran, retryAfterOf(error))});
}

auto ProgramOwner::refuseStatus(Ticket ticket, std::error_code error, Ran ran) -> void
{
    m_actions.emplace_back(AnswerStatus{ticket, callFailure(error, ran, retryAfterOf(error))});
}

auto ProgramOwner::call(Ticket ticket, ProgramCall call, Moment moment) -> Actions
{
    const auto program = call.program;
    withProgram(program, moment, [this, ticket, call = std::move(call)](const auto& state, Moment now) {
        if (!state) {
            refuse(ticket, state.error());
            return;
        }
        admit(state.value(), ticket, call, now);
    });
    return takeActions();
}

auto ProgramOwner::checkAdmission(const ProgramState& state, const ProgramCall& call, Moment moment) const -> Result<void>
{
    if (state.row.account != call.account) {
        return ProgramError::WrongAccount;
    }
    if (isFamilyFinished(call.program, state, moment.wallMs) || m_pendingEnds.contains(call.program)) {
        return ProgramError::Ended;
    }
    return framework::success();
}

auto ProgramOwner::admit(const StatePtr& state, Ticket ticket, ProgramCall call, Moment moment) -> void
{
    if (state->row.account == call.account && m_settings.policy.checkCallIds) {
        if (state->running && state->running->call.call == call.call) {
            state->running->tickets.push_back(ticket);
            return;
        }
        if (const auto known = state->answers.find(call.call); known != state->answers.end()) {
            auto answer = known->second;
            answer.repeated = true;
            m_actions.emplace_back(Answer{ticket, std::move(answer)});
            return;
        }
    }
    if (const auto admitted = checkAdmission(*state, call, moment); !admitted) {
        refuse(ticket, admitted.error());
        return;
    }
    const auto taken = state->turns + (state->running && !state->running->committing ? 1 : 0);
    if (call.turn <= taken && m_settings.policy.checkTurns) {
        refuse(ticket, ProgramError::TurnTaken);
        return;
    }
    if (!state->running && (call.turn == state->turns + 1 || !m_settings.policy.checkTurns)) {
        dispatch(state, ticket, std::move(call), moment);
        return;
    }
    const auto deadline = moment.now + std::min(call.timeout, m_settings.predecessorTimeout);
    m_active.insert(call.program);
    state->waiting.push_back({ticket, std::move(call), deadline});
}

auto ProgramOwner::hasRoomFor(const ProgramCall& call, Moment moment) const -> bool
{
    const auto expected = m_reservedBytes + call.body.size() + m_settings.recordAllowance;
    if (!m_queue.hasRoom(expected)) {
        return false;
    }
    return !m_queue.isStoreDown(moment.now) || m_peers >= m_settings.copies || !m_settings.policy.holdAtPeers;
}

auto ProgramOwner::dispatch(const StatePtr& state, Ticket ticket, ProgramCall call, Moment moment) -> void
{
    if (!m_invariants.check(Invariant::TurnOrder, !state->running && call.turn == state->turns + 1)) {
        refuse(ticket, ProgramError::TurnTaken);
        return;
    }
    if (m_settings.policy.checkLease && m_leases->fencingOf(call.program) != state->fencing) {
        refuse(ticket, ProgramError::OwnerUnreachable);
        return;
    }
    if (!hasRoomFor(call, moment)) {
        refuse(ticket, ProgramError::HistoryUnavailable);
        return;
    }
    auto body = framework::parseJson(call.body).value_or(Json::object());
    const auto added = messagesOf(body);
    const auto reserved = tokensFor(*state, body, added, m_settings.completionTokens);
    auto& budget = *stateOf(rootOf(call.program))->budget;
    if (const auto fits = budget.reserve(reserved, moment.wallMs, m_settings.limits); !fits && m_settings.policy.reserveBudget) {
        refuse(ticket, fits.error());
        return;
    } else if (!fits) {
        budget.reserveUnchecked(reserved);
    }
    const auto& limits = m_settings.limits;
    const auto withinTurns = budget.turns() + budget.reservedTurns() <= limits.maxTurns;
    if (!m_invariants.check(Invariant::BudgetRespected, withinTurns && budget.tokens() + budget.reservedTokens() <= limits.maxTokens)) {
        budget.cancel(reserved);
        refuse(ticket, ProgramError::BudgetTurns);
        return;
    }
    if (!added.empty() && !body.contains("max_tokens")) {
        body["max_completion_tokens"] = m_settings.completionTokens;
    }
    auto outbound = call;
    outbound.body = bodyWithHistory(*state, body, added);
    m_reservedBytes += call.body.size() + m_settings.recordAllowance;
    m_runs[ticket] = call.program;
    m_active.insert(call.program);
    state->usedAt = ++m_uses;
    const auto deadline = moment.now + call.timeout;
    state->running = RunningCall{std::move(call), added, reserved, ticket, {ticket}, deadline, false};
    ++m_counts.dispatched;
    m_actions.emplace_back(RunCall{ticket, std::move(outbound)});
}

auto ProgramOwner::callFinished(Ticket ticket, CallOutcome outcome, Moment moment) -> Actions
{
    const auto run = m_runs.extract(ticket);
    const auto state = run.empty() ? nullptr : stateOf(run.mapped());
    if (state == nullptr || !state->running || state->running->run != ticket) {
        const auto ran = std::holds_alternative<CallAnswer>(outcome) ? Ran::Yes : std::get<CallFailure>(outcome).ran;
        refuse(ticket, ProgramError::HistoryUnavailable, ran);
        return takeActions();
    }
    auto& running = *state->running;
    auto& budget = *stateOf(rootOf(run.mapped()))->budget;
    m_reservedBytes -= running.call.body.size() + m_settings.recordAllowance;
    if (const auto* answer = std::get_if<CallAnswer>(&outcome)) {
        const auto used = answer->usage.prompt + answer->usage.completion;
        budget.settle(running.reservedTokens, used);
        (void)m_invariants.check(Invariant::BudgetRespected, used <= running.reservedTokens);
        record(*state, *answer, moment);
        writeBatch(moment);
        holdRecords(moment);
        return takeActions();
    }
    budget.cancel(running.reservedTokens);
    for (const auto waiting : running.tickets) {
        m_actions.emplace_back(Answer{waiting, outcome});
    }
    state->running.reset();
    dispatchNext(state, moment);
    return takeActions();
}

auto ProgramOwner::record(ProgramState& state, const CallAnswer& answer, Moment moment) -> void
{
    auto& running = *state.running;
    running.committing = true;
    auto record =
        TurnRecord{running.call.program, running.call.turn, running.call.call, state.head, running.addedMessages, answer, moment.wallMs};
    if (!record.messages.empty()) {
        record.messages += "," + framework::dumpJson({{"role", "assistant"}, {"content", answer.body}});
    }
    auto line = toLine(record);
    auto digest = digestOf(line);
    auto link = ChainLink{std::move(record), std::move(line), std::move(digest)};
    const auto before = state.bytes;
    addTurn(state, link);
    m_historyBytes += state.bytes - before;
    m_queue.add(std::move(link));
}

auto ProgramOwner::finishTurn(const std::string& program, std::uint32_t turn, bool held, Moment moment) -> void
{
    const auto state = stateOf(program);
    if (state == nullptr || !state->running || !state->running->committing || state->running->call.turn != turn) {
        return;
    }
    auto& answer = state->answers[state->running->call.call];
    answer.held = held;
    auto outcome = answer;
    for (const auto ticket : state->running->tickets) {
        m_actions.emplace_back(Answer{ticket, outcome});
        outcome.repeated = true;
    }
    state->running.reset();
    dispatchNext(state, moment);
}

auto ProgramOwner::dispatchNext(const StatePtr& state, Moment moment) -> void
{
    auto waiting = std::exchange(state->waiting, {});
    for (auto& waitingCall : waiting) {
        if (state->running || waitingCall.call.turn > state->turns + 1) {
            state->waiting.push_back(std::move(waitingCall));
            continue;
        }
        admit(state, waitingCall.ticket, std::move(waitingCall.call), moment);
    }
}

auto ProgramOwner::status(Ticket ticket, const std::string& account, const std::string& program, Moment moment) -> Actions
{
    withProgram(program, moment, [this, ticket, account, program](const auto& state, Moment) {
        if (!state) {
            refuseStatus(ticket, state.error());
        } else if (state.value()->row.account != account) {
            refuseStatus(ticket, ProgramError::WrongAccount);
        } else {
            m_actions.emplace_back(AnswerStatus{ticket, statusOf(program, *state.value())});
        }
    });
    return takeActions();
}

auto ProgramOwner::end(Ticket ticket, const std::string& account, const std::string& program, Moment moment) -> Actions
{
    withProgram(program, moment, [this, ticket, account, program](const auto& state, Moment now) {
        if (!state) {
            refuseStatus(ticket, state.error());
        } else if (state.value()->row.account != account) {
            refuseStatus(ticket, ProgramError::WrongAccount);
        } else if (state.value()->row.ended) {
            m_actions.emplace_back(AnswerStatus{ticket, statusOf(program, *state.value())});
        } else if (m_queue.isStoreDown(now.now)) {
            refuseStatus(ticket, ProgramError::HistoryUnavailable);
        } else {
            m_pendingEnds[program].push_back(ticket);
            writeBatch(now);
        }
    });
    return takeActions();
}

auto ProgramOwner::tick(Moment moment) -> Actions
{
    for (auto position = m_active.begin(); position != m_active.end();) {
        const auto state = stateOf(*position);
        if (state != nullptr) {
            expireWaitingCalls(*state, moment);
        }
        const auto isActive = state != nullptr && (state->running || !state->waiting.empty());
        position = isActive ? std::next(position) : m_active.erase(position);
    }
    if (moment.now >= m_scanAt) {
        m_scanAt = moment.now + s_scanInterval;
        evictFinished(moment);
    }
    reloadStale(moment);
    writeBatch(moment);
    holdRecords(moment);
    return takeActions();
}

auto ProgramOwner::evictFinished(Moment moment) -> void
{
    const auto programs = m_programs;
    for (const auto& [program, state] : programs) {
        if (isIdle(program, *state) && isFamilyFinished(program, *state, moment.wallMs)) {
            m_actions.emplace_back(ReleaseMemory{program});
            m_historyBytes -= state->bytes;
            m_programs.erase(program);
        }
    }
}

auto ProgramOwner::expireWaitingCalls(ProgramState& state, Moment moment) -> void
{
    auto waiting = std::exchange(state.waiting, {});
    for (auto& waitingCall : waiting) {
        //! NOTE While the predecessor runs or is being committed, its successor may wait until its own deadline.
        const auto waitsForRunning = state.running && moment.now < waitingCall.deadline + waitingCall.call.timeout;
        if (moment.now < waitingCall.deadline || waitsForRunning) {
            state.waiting.push_back(std::move(waitingCall));
        } else {
            refuse(waitingCall.ticket, ProgramError::TurnTooEarly);
        }
    }
    if (state.running && state.running->committing && moment.now > state.running->deadline) {
        for (const auto ticket : std::exchange(state.running->tickets, {})) {
            refuse(ticket, ProgramError::HistoryUnavailable, Ran::Yes);
        }
    }
}

auto ProgramOwner::isFamilyFinished(const std::string& program, const ProgramState& state, std::uint64_t wallMs) const -> bool
{
    const auto root = stateOf(rootOf(program));
    const auto expiry = m_settings.limits.expiryMs;
    return root == nullptr || root->row.ended || isFinished(state.row, wallMs, expiry);
}

auto ProgramOwner::isBusy() const -> bool
{
    return !m_runs.empty() || m_queue.size() > 0 || !m_pendingEnds.empty() || m_batchInFlight.has_value();
}

auto ProgramOwner::isUnfinished(const std::string& program, std::uint64_t wallMs) const -> bool
{
    const auto state = stateOf(program);
    return state != nullptr && !isFinished(state->row, wallMs, m_settings.limits.expiryMs);
}

auto ProgramOwner::toJson() const -> Json
{
    return {{"programs", m_programs.size()},   {"loading", m_loading.size()},       {"running", m_runs.size()},
            {"queuedRecords", m_queue.size()}, {"queuedBytes", m_queue.bytes()},    {"batchOut", m_batchInFlight.has_value()},
            {"historyBytes", m_historyBytes},  {"dispatched", m_counts.dispatched}, {"committedTurns", m_counts.committed},
            {"batches", m_counts.batches},     {"heldTurns", m_counts.heldTurns},   {"claims", m_counts.claims},
            {"lostPrograms", m_counts.lost},   {"evicted", m_counts.evicted},       {"violations", m_invariants.toJson()}};
}

} // namespace laburnummill::programs
