#include "platform/platformerrors.h"
#include "programs/internal/programowner.h"
#include "programs/programerrors.h"

#include <algorithm>

//! NOTE The part of ProgramOwner that commits turns and ends.
namespace laburnummill::programs {

using calls::Ran;
using framework::Result;
using platform::PlatformError;

auto ProgramOwner::rowInBatch(const std::string& program, std::uint64_t fencing) -> ProgramRow&
{
    const auto [position, added] = m_batchInFlight->rows.emplace(program, m_programs.at(program)->row);
    if (added) {
        m_batchInFlight->programs.push_back(program);
        position->second.owner = m_settings.self;
        position->second.fencing = fencing;
    }
    return position->second;
}

auto ProgramOwner::addToBatch(const ChainLink& link) -> AddResult
{
    const auto& program = link.record.program;
    const auto fencing = m_leases->fencingOf(program);
    const auto state = stateOf(program);
    const auto rootState = stateOf(rootOf(program));
    if (state == nullptr || rootState == nullptr) {
        return AddResult::Rejected;
    }
    const auto mayCommit = fencing == state->fencing && fencing == rootState->fencing;
    if (m_settings.policy.checkLease && !mayCommit) {
        return fencing ? AddResult::Deferred : AddResult::Rejected;
    }
    if (!m_invariants.check(Invariant::CommitUnderLease, mayCommit)) {
        return AddResult::Rejected;
    }
    auto& row = rowInBatch(program, *fencing);
    if (!m_invariants.check(Invariant::ChainIsolated, row.head == link.record.parent && row.turns + 1 == link.record.turn)) {
        return AddResult::Rejected;
    }
    append(row, link, m_queue.objectName());
    auto& root = rowInBatch(rootOf(program), *fencing);
    ++root.familyTurns;
    root.familyTokens += tokensOf(link.record);
    root.lastAtMs = std::max(root.lastAtMs, link.record.atMs);
    return AddResult::Added;
}

auto ProgramOwner::addEndToBatch(const std::string& program) -> void
{
    const auto fencing = m_leases->fencingOf(program);
    const auto state = stateOf(program);
    if (state != nullptr && fencing == state->fencing) {
        rowInBatch(program, *fencing).ended = true;
    } else if (!fencing) {
        abandon(program, Ran::Unknown);
    }
}

auto ProgramOwner::writeBatch(Moment moment) -> void
{
    if (m_batchInFlight || (!m_queue.isBatchDue(moment.now) && m_pendingEnds.empty()) || !m_queue.canStartBatch(moment.now)) {
        return;
    }
    const auto links = m_queue.startBatch(moment.now);
    m_batchInFlight = BatchInFlight();
    for (const auto& link : links) {
        const auto result = addToBatch(link);
        if (result == AddResult::Added) {
            m_batchInFlight->links.push_back(link);
        } else if (result == AddResult::Rejected) {
            abandon(link.record.program, Ran::Yes);
        }
    }
    const auto ends = m_pendingEnds;
    for (const auto& [program, tickets] : ends) {
        addEndToBatch(program);
    }
    auto batch = composeBatch();
    if (batch.rows.empty()) {
        m_batchInFlight.reset();
        m_queue.finishBatch(true);
        return;
    }
    ++m_counts.batches;
    m_actions.emplace_back(std::move(batch));
}

auto ProgramOwner::composeBatch() -> WriteBatch
{
    //! NOTE Remove programs that were abandoned while the batch was composed.
    std::erase_if(m_batchInFlight->programs, [this](const auto& program) { return stateOf(program) == nullptr; });
    std::erase_if(m_batchInFlight->links, [this](const auto& link) { return stateOf(link.record.program) == nullptr; });
    auto batch = WriteBatch{m_queue.objectName(), {}, {}, m_batchInFlight->links.size()};
    for (const auto& link : m_batchInFlight->links) {
        batch.body += link.line + "\n";
    }
    for (const auto& program : m_batchInFlight->programs) {
        batch.rows.push_back({rowKeyOf(program), stateOf(program)->rowVersion, toText(m_batchInFlight->rows.at(program))});
    }
    return batch;
}

auto ProgramOwner::commitRow(const std::string& program, const ProgramRow& row, std::uint64_t version, Moment moment) -> void
{
    const auto state = stateOf(program);
    if (state == nullptr) {
        return;
    }
    state->row = row;
    state->rowVersion = version;
    for (const auto& link : m_queue.recordsOf(program)) {
        if (link.record.turn > row.turns) {
            break;
        }
        const auto removed = m_queue.remove(program, link.record.turn);
        ++m_counts.committed;
        auto& answer = state->answers[link.record.call];
        if (removed->isHoldRequested || answer.held) {
            m_actions.emplace_back(DropHeld{program, link.record.turn});
        }
        answer.held = false;
        finishTurn(program, link.record.turn, false, moment);
    }
    if (row.ended) {
        const auto ends = m_pendingEnds.extract(program);
        for (const auto ticket : ends.empty() ? std::vector<Ticket>() : ends.mapped()) {
            m_actions.emplace_back(
                AnswerStatus{ticket, ProgramStatus{program, state->turns, state->row.tokens, true, state->row.startedAtMs}});
        }
    }
}

auto ProgramOwner::batchWritten(Result<std::vector<std::uint64_t>> result, Moment moment) -> Actions
{
    if (!m_batchInFlight) {
        return takeActions();
    }
    if (result) {
        const auto batch = std::move(*std::exchange(m_batchInFlight, std::nullopt));
        m_queue.finishBatch(true);
        for (auto index = std::size_t{0}; index < batch.programs.size(); ++index) {
            commitRow(batch.programs[index], batch.rows.at(batch.programs[index]), result.value()[index], moment);
        }
        writeBatch(moment);
        return takeActions();
    }
    const auto readBack = result.error() == PlatformError::Conflict || result.error() == PlatformError::OutcomeUnknown;
    if (readBack && m_settings.policy.readBack) {
        m_actions.emplace_back(ReadRows{m_batchInFlight->programs});
        return takeActions();
    }
    m_batchInFlight.reset();
    m_queue.finishBatch(readBack);
    if (!readBack) {
        failPendingEnds();
    }
    holdRecords(moment);
    return takeActions();
}

auto ProgramOwner::rowsRead(Result<std::vector<std::optional<platform::Row>>> result, Moment moment) -> Actions
{
    if (!m_batchInFlight) {
        return takeActions();
    }
    const auto batch = std::move(*std::exchange(m_batchInFlight, std::nullopt));
    m_queue.finishBatch(result.has_value());
    if (!result) {
        failPendingEnds();
        holdRecords(moment);
        return takeActions();
    }
    for (auto index = std::size_t{0}; index < batch.programs.size(); ++index) {
        reconcileRow(batch.programs[index], result.value()[index], moment);
    }
    writeBatch(moment);
    return takeActions();
}

auto ProgramOwner::reconcileRow(const std::string& program, const std::optional<platform::Row>& found, Moment moment) -> void
{
    const auto state = stateOf(program);
    if (state == nullptr || (found && found->version == state->rowVersion)) {
        return;
    }
    const auto row = found ? rowFromText(found->value) : ProgramRow();
    auto isOurs = found && row.owner == m_settings.self && row.fencing == state->fencing && row.turns == state->row.turns;
    for (const auto& link : m_queue.recordsOf(program)) {
        isOurs = isOurs || (row.owner == m_settings.self && row.turns == link.record.turn && row.head == link.digest);
    }
    if (isOurs) {
        commitRow(program, row, found->version, moment);
    } else {
        abandon(program, Ran::Yes);
    }
}

auto ProgramOwner::failPendingEnds() -> void
{
    for (auto& [program, tickets] : m_pendingEnds) {
        for (const auto ticket : std::exchange(tickets, {})) {
            refuseStatus(ticket, ProgramError::HistoryUnavailable, Ran::Unknown);
        }
    }
}

auto ProgramOwner::holdRecords(Moment moment) -> void
{
    for (auto& hold : m_queue.takeRecordsToHold(moment.now)) {
        if (!m_settings.policy.holdAtPeers) {
            finishTurn(hold.program, hold.turn, true, moment);
            continue;
        }
        const auto state = stateOf(hold.program);
        if (state == nullptr || m_leases->fencingOf(hold.program) != state->fencing) {
            m_queue.retryHold(hold.program, hold.turn);
            continue;
        }
        hold.fencing = state->fencing;
        m_actions.emplace_back(std::move(hold));
    }
}

auto ProgramOwner::recordHeld(const std::string& program, std::uint32_t turn, std::size_t copies, Moment moment) -> Actions
{
    if (copies < m_settings.copies) {
        m_queue.retryHold(program, turn);
        return takeActions();
    }
    m_queue.markHeld(program, turn);
    const auto state = stateOf(program);
    if (state != nullptr && state->turns >= turn && m_queue.contains(program)) {
        ++m_counts.heldTurns;
        finishTurn(program, turn, true, moment);
    }
    return takeActions();
}

} // namespace laburnummill::programs
