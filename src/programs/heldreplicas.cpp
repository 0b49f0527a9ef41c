#include "programs/heldreplicas.h"

namespace laburnummill::programs {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// After this time a host writes the turn itself instead of waiting for its origin.
constexpr auto s_originTimeout = Milliseconds(3'000);

} // namespace

auto HeldReplicas::hold(const Turn& turn, HeldReplica replica) -> void
{
    replica.program = {.account = turn.account, .program = turn.program};
    replica.tokens = static_cast<std::uint64_t>(turn.tokens);
    auto& held = m_replicas[turn.id];
    m_bytes += replica.record.size();
    m_bytes -= held.record.size();
    held = std::move(replica);
}

auto HeldReplicas::find(std::string_view id) const -> const HeldReplica*
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

auto HeldReplicas::erase(std::string_view id) -> void
{
    if (const auto found = m_replicas.find(id); found != m_replicas.end()) {
        m_bytes -= found->second.record.size();
        m_replicas.erase(found);
    }
}

auto HeldReplicas::markRejected(std::string_view id) -> void
{
    if (const auto found = m_replicas.find(id); found != m_replicas.end()) {
        found->second.isRejected = true;
    }
}

auto HeldReplicas::tokens(const ProgramKey& program) const -> std::uint64_t
{
    auto tokens = std::uint64_t{0};
    for (const auto& [id, replica] : m_replicas) {
        tokens += replica.program == program ? replica.tokens : 0;
    }
    return tokens;
}

auto HeldReplicas::dropDispensable(const HasWritten& hasWritten, Instant now, Milliseconds retention) -> void
{
    std::erase_if(m_replicas, [&](const auto& entry) {
        const auto& replica = entry.second;
        // A heartbeat that was sent before the turn was held says nothing about it.
        const auto isDispensable = now > replica.since + retention || (now > replica.since + s_originTimeout && hasWritten(replica));
        m_bytes -= isDispensable ? replica.record.size() : 0;
        return isDispensable;
    });
}

auto HeldReplicas::due(Instant now, bool isStopping) const -> std::vector<std::string>
{
    auto ids = std::vector<std::string>();
    for (const auto& [id, replica] : m_replicas) {
        if (!replica.isRejected && (isStopping || now > replica.since + s_originTimeout)) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace laburnummill::programs
