#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "programs/turnjournal.h"

#include <algorithm>

// The part of TurnJournal that keeps the tokens of turns in the memory of several hosts until the store has them, and turns of hosts of the
// build before, which end answers on such copies.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

/// If neither the store nor a replica host answers within this time, the turn remains in this host's memory only.
constexpr auto s_replicationTimeout = Milliseconds(600);
constexpr auto s_replicaRequestTimeout = Milliseconds(250);

/// A turn that fewer hosts hold is replicated again once others can be reached.
constexpr auto s_wantedReplicas = 1;

/// Records handed over before other work of the stopping host has its turn, in bytes.
constexpr auto s_maxHandoverBytes = std::size_t{4 * 1024 * 1024};

} // namespace

auto TurnJournal::keepUnstored(PendingWritePtr write) -> Async<CommitOutcome>
{
    replicate(write);
    const auto deadline = m_clock.now() + s_replicationTimeout;
    while (!write->isStored && write->openReplications > 0 && m_clock.now() < deadline) {
        co_await awaitChange(write, s_replicationTimeout);
    }
    if (write->isStored) {
        co_return CommitOutcome::Stored;
    }
    if (write->replicas < s_wantedReplicas && std::ranges::find(m_underReplicated, write) == m_underReplicated.end()) {
        m_underReplicated.push_back(write);
    }
    co_return write->replicas > 0 ? CommitOutcome::Replicated : CommitOutcome::LocalOnly;
}

auto TurnJournal::replicate(const PendingWritePtr& write) -> void
{
    if (!write->isCounted && !write->isReleased) {
        write->isCounted = true;
        ++m_unwritten;
    }
    for (auto& address : m_peers.replicaHosts(write->turn->program)) {
        ++write->openReplications;
        framework::spawnTask(m_executor, "replicate_to", replicateTo(std::move(address), write));
    }
}

auto TurnJournal::replicateTo(std::string address, PendingWritePtr write) -> Async<void>
{
    auto request = peers::messages::Request();
    request.mutable_kept_turns()->add_records(write->record);
    request.mutable_kept_turns()->set_origin(m_peers.ownAddress());
    request.mutable_kept_turns()->set_origin_incarnation(m_peers.ownIncarnation());
    const auto response = co_await m_peers.call(std::move(address), std::move(request), s_replicaRequestTimeout);
    --write->openReplications;
    write->replicas += response && !response.value().is_copy_declined() ? 1 : 0;
    write->changed.cancel();
}

auto TurnJournal::replicateAgain() -> void
{
    std::erase_if(m_underReplicated, [](const PendingWritePtr& write) { return write->isReleased || write->replicas >= s_wantedReplicas; });
    for (const auto& write : m_underReplicated) {
        if (write->openReplications == 0) {
            replicate(write);
        }
    }
}

auto TurnJournal::holdReplicas(const std::string& origin, std::uint64_t originIncarnation, const std::vector<std::string>& records) -> bool
{
    auto areHeld = true;
    for (const auto& record : records) {
        const auto turn = decodeTurn(record);
        if (!turn) {
            framework::logEvent(framework::LogLevel::Warning, "programs", "kept_turn_unreadable", {{"origin", origin}});
            continue;
        }
        if (m_replicas.find(turn->id) == nullptr && !m_unstored.mayTakeCopy(record.size())) {
            areHeld = false;
            continue;
        }
        m_replicas.hold(*turn, {.origin = origin,
                                .originIncarnation = originIncarnation,
                                .record = record,
                                .program = {},
                                .tokens = 0,
                                .since = m_clock.now()});
        m_unstored.setCopies(m_replicas.bytes());
    }
    return areHeld;
}

auto TurnJournal::keepReplicas() -> Async<void>
{
    co_await storeWaitingElsewhere();
    replicateAgain();
    const auto hasWritten = [this](const HeldReplica& replica) {
        return m_peers.hasWrittenAllTurns(replica.origin, replica.originIncarnation);
    };
    m_replicas.dropDispensable(hasWritten, m_clock.now(), m_retention);
    m_unstored.setCopies(m_replicas.bytes());
    for (const auto& id : m_replicas.due(m_clock.now(), m_isStopping)) {
        const auto* replica = m_replicas.find(id);
        if (replica == nullptr) {
            continue;
        }
        const auto partition = programs::partitionOf(replica->program);
        const auto record = replica->record;
        const auto turn = decodeTurn(record);
        if (isAwayAlone(partition) && co_await storeElsewhere(turn, std::make_shared<const std::string>(record))) {
            m_replicas.erase(id);
            m_unstored.setCopies(m_replicas.bytes());
            continue;
        }
        if (m_isStopping && stateFor(partition) == store::StoreState::Away) {
            co_return co_await handOver();
        }
        const auto stored = co_await storeRecord(*turn, record, partition);
        if (stored) {
            m_replicas.erase(id);
            m_unstored.setCopies(m_replicas.bytes());
        } else if (stored.error() == store::StoreError::Rejected) {
            framework::logEvent(framework::LogLevel::Error, "programs", "kept_turn_rejected", {{"request", id}, {"bytes", record.size()}});
            m_replicas.markRejected(id);
        } else if (m_isStopping) {
            co_return co_await handOver();
        } else {
            co_return; // Retried at the next call.
        }
    }
}

auto TurnJournal::handOver() -> Async<void>
{
    auto ids = m_replicas.due(m_clock.now(), true);
    auto bytes = std::size_t{0};
    for (const auto& id : ids) {
        const auto* replica = m_replicas.find(id);
        if (replica == nullptr) {
            continue;
        }
        auto request = peers::messages::Request();
        auto& kept = *request.mutable_kept_turns();
        kept.set_origin(replica->origin);
        kept.set_origin_incarnation(replica->originIncarnation);
        kept.add_records(replica->record);
        bytes += replica->record.size();
        auto isHeld = false;
        // Either host may be the one that holds the turn already.
        for (auto& address : m_peers.replicaHosts(replica->program.program)) {
            const auto response = co_await m_peers.call(std::move(address), request, s_replicaRequestTimeout);
            isHeld = isHeld || response;
        }
        if (isHeld) {
            m_replicas.erase(id);
            m_unstored.setCopies(m_replicas.bytes());
        }
        if (bytes > s_maxHandoverBytes) {
            break; // Goes on at the next call.
        }
    }
    framework::logEvent(framework::LogLevel::Info, "programs", "kept_turns_handed_over",
                        {{"turns", ids.size()}, {"left", m_replicas.count()}});
}

} // namespace laburnummill::programs
