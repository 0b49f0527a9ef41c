#include "platform/platformerrors.h"
#include "programs/internal/programowner.h"
#include "programs/programerrors.h"

//! NOTE The part of ProgramOwner that starts, loads, abandons and evicts programs.
namespace laburnummill::programs {

using calls::Ran;
using framework::Result;
using platform::PlatformError;

namespace {

constexpr auto s_maxAttempts = std::uint32_t{3};
constexpr auto s_reloadInterval = framework::Milliseconds(500);

} // namespace

auto ProgramOwner::withProgram(const std::string& program, Moment moment, Then then) -> void
{
    const auto fencing = m_leases->fencingOf(program);
    if (!fencing) {
        then(ProgramError::OwnerUnreachable, moment);
        return;
    }
    if (const auto state = stateOf(program); state != nullptr) {
        const auto root = stateOf(rootOf(program));
        const auto isCurrent = root != nullptr && root->fencing == *fencing && state->fencing == *fencing;
        if (isCurrent || (root != nullptr && !m_settings.policy.claimRows)) {
            state->usedAt = ++m_uses;
            then(state, moment);
            return;
        }
        if (isFamilyRunning(program) || m_batchInFlight) {
            then(ProgramError::OwnerUnreachable, moment);
            return;
        }
    }
    auto& loading = m_loading[program];
    loading.then.push_back(std::move(then));
    if (loading.then.size() > 1) {
        return;
    }
    if (const auto root = rootOf(program); root != program) {
        withProgram(root, moment, [this, program](const auto& state, Moment now) {
            if (!state) {
                failLoading(program, state.error(), now);
            } else {
                beginLoading(program, now);
            }
        });
        return;
    }
    beginLoading(program, moment);
}

auto ProgramOwner::beginLoading(const std::string& program, Moment moment) -> void
{
    auto& loading = m_loading[program];
    const auto fencing = m_leases->fencingOf(program);
    if (!fencing || ++loading.attempts > s_maxAttempts) {
        failLoading(program, fencing ? ProgramError::HistoryUnavailable : ProgramError::OwnerUnreachable, moment);
        return;
    }
    loading.fencing = *fencing;
    const auto evicted = m_evicted.find(program);
    const auto askPeers = evicted == m_evicted.end() || evicted->second != *fencing;
    ++m_counts.loads;
    m_actions.emplace_back(LoadProgram{program, *fencing, askPeers});
}

auto ProgramOwner::failLoading(const std::string& program, std::error_code error, Moment moment) -> void
{
    auto loading = m_loading.extract(program);
    if (loading.empty()) {
        return;
    }
    for (const auto& then : loading.mapped().then) {
        then(error, moment);
    }
}

auto ProgramOwner::build(const std::string& program, LoadedProgram& loaded, Loading& loading) -> Result<StatePtr>
{
    if (!loaded.row) {
        return ProgramError::Unknown;
    }
    auto& row = *loaded.row;
    if (row.fencing > loading.fencing) {
        return ProgramError::OwnerUnreachable;
    }
    auto chain = chainFrom(program, loaded.lines, row.turns, row.head);
    const auto isComplete = m_invariants.check(Invariant::ChainComplete, chain.has_value());
    if (!isComplete) {
        return ProgramError::HistoryBroken;
    }
    auto state = std::make_shared<ProgramState>();
    state->rowVersion = loaded.rowVersion;
    state->fencing = loading.fencing;
    state->head = firstDigest(program);
    for (const auto& link : chain.value()) {
        addTurn(*state, link);
    }
    for (const auto& link : m_queue.recordsOf(program)) {
        loaded.held.push_back(link.line);
    }
    loading.held = continuationOf(program, loaded.held, state->turns, state->head);
    if (rootOf(program) == program) {
        state->budget = Budget(row.familyTurns, row.familyTokens, row.startedAtMs);
        countFamily(program, *state, loaded.held);
    }
    state->row = std::move(row);
    return state;
}

auto ProgramOwner::loaded(const std::string& program, Result<LoadedProgram> result, Moment moment) -> Actions
{
    const auto found = m_loading.find(program);
    if (found == m_loading.end()) {
        return takeActions();
    }
    if (!result) {
        failLoading(program, ProgramError::HistoryUnavailable, moment);
        return takeActions();
    }
    auto& loading = found->second;
    auto state = build(program, result.value(), loading);
    if (state && rootOf(program) != program && stateOf(rootOf(program)) == nullptr) {
        state = ProgramError::OwnerUnreachable;
    }
    if (!state || m_leases->fencingOf(program) != loading.fencing) {
        failLoading(program, state ? ProgramError::OwnerUnreachable : state.error(), moment);
        return takeActions();
    }
    loading.claimed = state.value();
    auto& row = loading.claimed->row;
    const auto isClaimedHere = row.owner == m_settings.self && row.fencing == loading.fencing;
    const auto isFinishedHistory = isFinished(row, moment.wallMs, m_settings.limits.expiryMs) && loading.held.empty();
    if (isClaimedHere || isFinishedHistory || !m_settings.policy.claimRows) {
        install(program, moment);
        return takeActions();
    }
    row.owner = m_settings.self;
    row.fencing = loading.fencing;
    ++m_counts.claims;
    m_actions.emplace_back(WriteRow{program, {rowKeyOf(program), loading.claimed->rowVersion, toText(row)}});
    return takeActions();
}

auto ProgramOwner::rowWritten(const std::string& program, Result<std::uint64_t> result, Moment moment) -> Actions
{
    if (m_starting.contains(program)) {
        finishStart(program, result);
        return takeActions();
    }
    const auto found = m_loading.find(program);
    if (found == m_loading.end() || found->second.claimed == nullptr) {
        return takeActions();
    }
    if (!result) {
        found->second.claimed = nullptr;
        const auto readAgain = result.error() == PlatformError::OutcomeUnknown || result.error() == PlatformError::Conflict;
        if (readAgain) {
            beginLoading(program, moment);
        } else {
            failLoading(program, ProgramError::HistoryUnavailable, moment);
        }
        return takeActions();
    }
    found->second.claimed->rowVersion = result.value();
    install(program, moment);
    return takeActions();
}

auto ProgramOwner::install(const std::string& program, Moment moment) -> void
{
    auto loading = std::move(m_loading.extract(program).mapped());
    const auto& state = loading.claimed;
    const auto before = stateOf(program);
    m_programs[program] = state;
    state->usedAt = ++m_uses;
    const auto root = stateOf(rootOf(program));
    if (root == nullptr) {
        m_programs.erase(program);
        for (const auto& then : loading.then) {
            then(ProgramError::OwnerUnreachable, moment);
        }
        return;
    }
    for (auto& link : loading.held) {
        addTurn(*state, link);
        if (!root->counted.contains(link.digest)) {
            root->budget->reserveUnchecked(0);
            root->budget->settle(0, tokensOf(link.record));
        }
        if (!m_queue.remove(program, link.record.turn)) {
            ++m_counts.heldTurns;
        }
        state->answers[link.record.call].held = true;
        m_queue.add(std::move(link));
    }
    m_historyBytes += state->bytes;
    m_evicted.erase(program);
    if (before != nullptr) {
        m_historyBytes -= before->bytes;
        carryOver(*before, *state);
    }
    //! NOTE A write of unknown outcome may have committed turns that are still queued.
    commitRow(program, state->row, state->rowVersion, moment);
    for (const auto& then : loading.then) {
        then(state, moment);
    }
}

auto ProgramOwner::carryOver(const ProgramState& before, ProgramState& state) -> void
{
    state.waiting = before.waiting;
    if (!before.running) {
        return;
    }
    if (state.turns >= before.running->call.turn && state.answers.contains(before.running->call.call)) {
        state.running = before.running;
        return;
    }
    for (const auto ticket : before.running->tickets) {
        refuse(ticket, ProgramError::HistoryUnavailable, Ran::Yes);
    }
}

auto ProgramOwner::countFamily(const std::string& root, ProgramState& state, const std::vector<std::string>& lines) const -> void
{
    const auto count = [&](const TurnRecord& record, const std::string& digest) {
        if (record.program != root && rootOf(record.program) == root && state.counted.insert(digest).second) {
            state.budget->reserveUnchecked(0);
            state.budget->settle(0, tokensOf(record));
        }
    };
    for (const auto& line : lines) {
        if (const auto record = recordFromLine(line)) {
            count(record.value(), digestOf(line));
        }
    }
    for (const auto& [program, child] : m_programs) {
        for (const auto& link : m_queue.recordsOf(program)) {
            count(link.record, link.digest);
        }
    }
}

auto ProgramOwner::reloadStale(Moment moment) -> void
{
    if (m_batchInFlight || moment.now < m_reloadAt) {
        return;
    }
    m_reloadAt = moment.now + s_reloadInterval;
    const auto programs = m_programs;
    for (const auto& [program, state] : programs) {
        const auto hasWork = m_queue.contains(program) || m_pendingEnds.contains(program);
        const auto fencing = hasWork ? m_leases->fencingOf(program) : std::nullopt;
        if (fencing && *fencing != state->fencing && !m_loading.contains(program)) {
            withProgram(program, moment, [](const auto&, Moment) {});
        }
    }
}

auto ProgramOwner::isIdle(const std::string& program, const ProgramState& state) const -> bool
{
    const auto prefix = program + ".";
    const auto child = m_programs.upper_bound(prefix);
    const auto hasChildren = child != m_programs.end() && child->first.starts_with(prefix);
    const auto isInBatch = m_batchInFlight && m_batchInFlight->rows.contains(program);
    const auto hasWork = m_queue.contains(program) || m_pendingEnds.contains(program) || m_loading.contains(program);
    return !hasChildren && !isInBatch && !hasWork && !state.running && state.waiting.empty();
}

auto ProgramOwner::isFamilyRunning(const std::string& program) const -> bool
{
    const auto root = rootOf(program);
    for (auto position = m_programs.lower_bound(root); position != m_programs.end() && position->first.starts_with(root); ++position) {
        const auto& state = *position->second;
        if (state.running && !state.running->committing) {
            return true;
        }
    }
    return false;
}

auto ProgramOwner::recover(const std::string& program, Moment moment) -> Actions
{
    withProgram(program, moment, [](const auto&, Moment) {});
    return takeActions();
}

auto ProgramOwner::start(Ticket ticket, const std::string& program, const std::string& account, Moment moment) -> Actions
{
    if (rootOf(program) == program) {
        beginStart(ticket, program, account, moment);
        return takeActions();
    }
    withProgram(rootOf(program), moment, [this, ticket, program, account](const auto& root, Moment now) {
        if (!root) {
            refuseStatus(ticket, root.error());
        } else if (root.value()->row.account != account) {
            refuseStatus(ticket, ProgramError::WrongAccount);
        } else if (isFinished(root.value()->row, now.wallMs, m_settings.limits.expiryMs)) {
            refuseStatus(ticket, ProgramError::Ended);
        } else {
            beginStart(ticket, program, account, now);
        }
    });
    return takeActions();
}

auto ProgramOwner::beginStart(Ticket ticket, const std::string& program, const std::string& account, Moment moment) -> void
{
    const auto fencing = m_leases->fencingOf(program);
    if (!fencing) {
        refuseStatus(ticket, ProgramError::OwnerUnreachable);
        return;
    }
    auto state = std::make_shared<ProgramState>();
    state->row.account = account;
    state->row.owner = m_settings.self;
    state->row.fencing = *fencing;
    state->row.startedAtMs = moment.wallMs;
    state->row.lastAtMs = moment.wallMs;
    state->row.head = firstDigest(program);
    state->head = state->row.head;
    state->fencing = *fencing;
    if (rootOf(program) == program) {
        state->budget = Budget(0, 0, moment.wallMs);
    }
    m_actions.emplace_back(WriteRow{program, {rowKeyOf(program), platform::s_absent, toText(state->row)}});
    m_starting[program] = {ticket, std::move(state)};
}

auto ProgramOwner::finishStart(const std::string& program, Result<std::uint64_t> result) -> void
{
    auto [ticket, state] = std::move(m_starting.extract(program).mapped());
    if (!result) {
        const auto isNotExecuted = result.error() != PlatformError::OutcomeUnknown;
        refuseStatus(ticket, ProgramError::HistoryUnavailable, isNotExecuted ? Ran::No : Ran::Unknown);
        return;
    }
    state->rowVersion = result.value();
    state->usedAt = ++m_uses;
    m_programs[program] = std::move(state);
    m_actions.emplace_back(AnswerStatus{ticket, ProgramStatus{program, 0, 0, false}});
}

auto ProgramOwner::abandon(const std::string& program, Ran ran) -> void
{
    const auto state = stateOf(program);
    if (state == nullptr) {
        return;
    }
    ++m_counts.lost;
    if (state->running && state->running->committing) {
        for (const auto ticket : state->running->tickets) {
            refuse(ticket, ProgramError::HistoryUnavailable, ran);
        }
    } else if (state->running) {
        //! NOTE The first caller is answered when the call finishes.
        const auto run = state->running->run;
        for (const auto ticket : state->running->tickets) {
            if (ticket != run) {
                refuse(ticket, ProgramError::OwnerUnreachable, Ran::Unknown);
            }
        }
        m_reservedBytes -= state->running->call.body.size() + m_settings.recordAllowance;
    }
    for (const auto& waiting : state->waiting) {
        refuse(waiting.ticket, ProgramError::OwnerUnreachable);
    }
    for (const auto& link : m_queue.recordsOf(program)) {
        (void)m_queue.remove(program, link.record.turn);
    }
    if (const auto ends = m_pendingEnds.extract(program); !ends.empty()) {
        for (const auto ticket : ends.mapped()) {
            refuseStatus(ticket, ProgramError::OwnerUnreachable, Ran::Unknown);
        }
    }
    m_historyBytes -= state->bytes;
    m_programs.erase(program);
    //! NOTE Sub-agents use their root's budget, so they are abandoned with it.
    const auto programs = m_programs;
    for (const auto& [child, childState] : programs) {
        if (child != program && rootOf(child) == program) {
            abandon(child, ran);
        }
    }
}

auto ProgramOwner::evict() -> void
{
    while (m_historyBytes > m_settings.maxHistoryBytes) {
        auto oldest = m_programs.end();
        for (auto position = m_programs.begin(); position != m_programs.end(); ++position) {
            const auto& [program, state] = *position;
            const auto isOlder = oldest == m_programs.end() || state->usedAt < oldest->second->usedAt;
            if (isOlder && state->bytes > 0 && isIdle(program, *state)) {
                oldest = position;
            }
        }
        if (oldest == m_programs.end()) {
            return;
        }
        m_historyBytes -= oldest->second->bytes;
        m_evicted[oldest->first] = oldest->second->fencing;
        m_programs.erase(oldest);
        ++m_counts.evicted;
    }
}

} // namespace laburnummill::programs
